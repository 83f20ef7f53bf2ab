/**
 * Remembers which availability zones are emptied: their servers get no requests
 * until the operator takes the zone back.
 *
 * States come from the store and, through admission controllers, from other
 * routers. Each is whole and tells the revision that it is from, so they may come
 * twice, late, or in any order.
 */

import type { Clock } from "../common/clock.ts";

/** All emptied zones as of one revision of the store. */
export interface EvacuationState {
  /** How often the store has been restored; revisions compare within one era. */
  readonly era: number;
  readonly revision: number;
  /** Names of the emptied zones, in any order. */
  readonly zones: readonly string[];
  /** Time in ms since this was known to be the newest state. */
  readonly ageMs: number;
}

/** Where a state was learnt: read from the store, or told by another process. */
export type EvacuationSource = "store" | "relay";

/** Zones that a new state has emptied or taken back; one list may be empty. */
export interface EvacuationChange {
  readonly emptied: readonly string[];
  readonly returned: readonly string[];
  readonly source: EvacuationSource;
  /** Age of the state in ms. */
  readonly ageMs: number;
}

/** What became of a state: it changed zones, changed none, or is an older one. */
export type Learnt = "news" | "known" | "outdated";

/** Newest known state, with the time as of which it was the newest. */
interface KnownState {
  readonly era: number;
  readonly revision: number;
  readonly zones: ReadonlySet<string>;
  readonly asOfMs: number;
}

/** The emptied zones; notifies listeners of changes. */
export class ZoneEvacuations {
  readonly #clock: Clock;
  readonly #listeners: ((change: EvacuationChange) => void)[] = [];
  #known: KnownState | null = null;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Adds a listener that is called on each change, once it is in force. */
  onChange(listener: (change: EvacuationChange) => void): void {
    this.#listeners.push(listener);
  }

  /** Whether no zone is emptied, as far as is known. */
  get isEmpty(): boolean {
    return this.#known === null || this.#known.zones.size === 0;
  }

  /** Whether a zone's servers get no requests. */
  isEmptied(availabilityZone: string): boolean {
    return this.#known?.zones.has(availabilityZone) ?? false;
  }

  /** The newest known state; null before the first one. */
  get current(): EvacuationState | null {
    if (this.#known === null) return null;
    const { era, revision, zones, asOfMs } = this.#known;
    const ageMs = this.#clock.monotonicMs() - asOfMs;
    return { era, revision, zones: [...zones].sort(), ageMs };
  }

  /** Adopts a state, unless a newer one is known. */
  learn(state: EvacuationState, source: EvacuationSource): Learnt {
    const { era, revision, ageMs } = state;
    const before = this.#known?.zones ?? new Set<string>();
    const zones = new Set(state.zones);
    const emptied = [...zones].filter((zone) => !before.has(zone)).sort();
    const returned = [...before].filter((zone) => !zones.has(zone)).sort();
    const isSame = emptied.length === 0 && returned.length === 0;
    if (this.#isOlder(state, source)) return isSame ? "known" : "outdated";
    const asOfMs = this.#clock.monotonicMs() - ageMs;
    this.#known = { era, revision, zones, asOfMs };
    if (isSame) return "known";
    for (const listener of this.#listeners)
      listener({ emptied, returned, source, ageMs });
    return "news";
  }

  /** What the store itself says is believed at the revision that is known. */
  #isOlder(
    { era, revision }: EvacuationState,
    source: EvacuationSource,
  ): boolean {
    if (this.#known === null) return false;
    if (era !== this.#known.era) return era < this.#known.era;
    const { revision: known } = this.#known;
    return source === "store" ? revision < known : revision <= known;
  }
}
