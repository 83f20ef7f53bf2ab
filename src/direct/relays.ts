/**
 * Chooses the admission controllers that pass a router's reports on to the other
 * routers, and repairs what was lost on the way.
 */

import type { CrashSyncMessage } from "../protocol/mod.ts";
import { topRanked } from "../scheduling/mod.ts";
import type { AdmissionClient } from "./admission_client.ts";

/**
 * Number of relays: a second one, because the first may be cut off from some
 * routers. All routers choose the same ones, so that these merge what many
 * routers report.
 */
const RELAYS = 2;
/** Key by which the relays are ranked. */
const RELAY_KEY = "relay";
/**
 * Interval at which the crash evidence is compared with that of an admission
 * controller: reports may be lost with sessions. A few comparisons take less
 * than the 3 s after which callers' rules expect the fleet to know of a crash.
 */
const COMPARISON_INTERVAL_MS = 1_000;

/** An admission controller with an open connection. */
export interface OpenController {
  /** Its host. */
  readonly id: string;
  readonly client: AdmissionClient;
}

/** Dependencies of `Relays`. */
export interface RelaysDependencies {
  openControllers(): readonly OpenController[];
  /** Message that begins a comparison of crash evidence. */
  crashSummary(): CrashSyncMessage;
}

/** The relays of one router; compares crash evidence until it is closed. */
export class Relays {
  readonly #deps: RelaysDependencies;
  readonly #timer: NodeJS.Timeout;
  /** Hosts of the relays at the last change of connections. */
  #hosts: ReadonlySet<string> = new Set();
  /** Turns of the comparison; begins anywhere, unlike that of other routers. */
  #comparisons = Math.floor(Math.random() * 2 ** 16);

  constructor(deps: RelaysDependencies) {
    this.#deps = deps;
    this.#timer = setInterval(
      () => this.#compareWithNext(),
      COMPARISON_INTERVAL_MS,
    );
  }

  /**
   * Returns the relays, by descending rank.
   *
   * @param options.except host that gets the report in another way
   */
  choose({ except }: { readonly except?: string } = {}): OpenController[] {
    const controllers = this.#deps.openControllers();
    const usable = controllers.filter(({ id }) => id !== except);
    return topRanked(RELAY_KEY, usable, RELAYS);
  }

  /** Compares crash evidence with controllers that have become relays. */
  handleConnectionChange(): void {
    const relays = this.choose();
    const before = this.#hosts;
    this.#hosts = new Set(relays.map(({ id }) => id));
    for (const { id, client } of relays)
      if (!before.has(id)) client.send(this.#deps.crashSummary());
  }

  /** Ends the comparisons. */
  close(): void {
    clearInterval(this.#timer);
  }

  /** With each in turn, so that what only some of them know reaches all. */
  #compareWithNext(): void {
    const controllers = this.#deps.openControllers();
    this.#comparisons += 1;
    const next = controllers[this.#comparisons % controllers.length];
    next?.client.send(this.#deps.crashSummary());
  }
}
