/** What one router knows of emptied zones, and tells other routers. */

import type { Clock } from "../common/clock.ts";
import type { EventLog } from "../common/event_log.ts";
import {
  type EvacuationChange,
  type EvacuationSource,
  type EvacuationState,
  packEvacuations,
  type ZoneEvacuations,
} from "../directory/mod.ts";
import type { EvacuationsReport } from "../protocol/mod.ts";

/** Dependencies of `SharedEvacuations`. */
export interface SharedEvacuationsDependencies {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly evacuations: ZoneEvacuations;
  /**
   * Time in ms for which a router that starts waits until it knows a state; null
   * if operators empty no zones.
   */
  readonly boundMs: number | null;
  /** Number of servers in a zone. */
  serversIn(zone: string): number;
  /** Tells other routers, and the controllers in the zones that have changed. */
  share(report: EvacuationsReport, changed: ReadonlySet<string>): void;
  /** Called after all listeners of a change; moves waiting requests. */
  onChange(): void;
}

/** Learns, logs and passes on which zones are emptied. */
export class SharedEvacuations {
  readonly #deps: SharedEvacuationsDependencies;
  readonly #startedAtMs: number;
  #isKnown: boolean;
  /** Called once the state is known; null for nothing to do. */
  #onKnown: (() => void) | null = null;

  constructor(deps: SharedEvacuationsDependencies) {
    this.#deps = deps;
    this.#startedAtMs = deps.clock.monotonicMs();
    this.#isKnown = deps.boundMs === null;
    deps.evacuations.onChange((change) => this.#handleChange(change));
  }

  /** What is known, for an admission controller; null if nothing is. */
  get report(): EvacuationsReport | null {
    const { current } = this.#deps.evacuations;
    return current === null ? null : packEvacuations(current);
  }

  /** Adopts a state, unless a newer one is known. */
  learn(state: EvacuationState, source: EvacuationSource): void {
    const learnt = this.#deps.evacuations.learn(state, source);
    // Other listeners may have prepared servers that are taken back.
    if (learnt === "news") this.#deps.onChange();
    this.#markKnown();
  }

  /**
   * Runs an action once a state is known: at once, or else when the first one
   * comes or the bound is over. A later action replaces one that waits.
   */
  whenKnown(action: () => void): void {
    if (this.#isKnown) action();
    else this.#onKnown = action;
  }

  /** Ends the wait for the first state in time; must be called periodically. */
  sweep(): void {
    const { clock, events, boundMs } = this.#deps;
    if (this.#isKnown || boundMs === null) return;
    const waitedMs = clock.monotonicMs() - this.#startedAtMs;
    if (waitedMs < boundMs) return;
    events.warn("emptied-zones-unknown", { waitedMs: Math.round(waitedMs) });
    this.#markKnown();
  }

  #markKnown(): void {
    this.#isKnown = true;
    const action = this.#onKnown;
    this.#onKnown = null;
    action?.();
  }

  #handleChange(change: EvacuationChange): void {
    const { emptied, returned } = change;
    for (const zone of emptied) this.#log("zone-emptied", zone, change);
    for (const zone of returned) this.#log("zone-returned", zone, change);
    const { report } = this;
    if (report !== null)
      this.#deps.share(report, new Set([...emptied, ...returned]));
  }

  #log(
    event: "zone-emptied" | "zone-returned",
    zone: string,
    { source, ageMs }: EvacuationChange,
  ): void {
    const { events, evacuations, serversIn } = this.#deps;
    const { era, revision } = evacuations.current ?? {};
    const servers = serversIn(zone);
    const known = { source, ageMs: Math.round(ageMs), era, revision };
    events.info(event, { zone, servers, ...known });
  }
}
