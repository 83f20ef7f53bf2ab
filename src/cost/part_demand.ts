/**
 * Measures how much of one engine the requests take that share a part of a
 * prompt.
 */

import type { Clock } from "../common/clock.ts";

/**
 * Demand halves in this time: long enough to average over the bursts of a few
 * callers, short enough to follow a part that is suddenly in demand.
 */
const HALF_LIFE_MS = 1_000;
/**
 * Smaller shares aren't reported: two engines serve such a part with ease, and
 * most parts are of this kind.
 */
const MIN_REPORTED_SHARE = 0.1;
/** Parts in a report; further ones can't have a large share of the engine. */
const MAX_REPORTED_PARTS = 8;
/** A part with less demand is forgotten, as a share of the engine. */
const NEGLIGIBLE_SHARE = 0.001;
/** Parts that are kept at most; beyond it, negligible ones are removed. */
const MAX_PARTS = 2_000;

/** Share of an engine, 0 to about 1, that requests with a part take. */
export type BusyPart = readonly [id: string, share: number];

interface DecayingTime {
  busyMs: number;
  updatedAtMs: number;
}

/** Engine time by part of a prompt, with exponential decay. */
export class PartDemand {
  readonly #clock: Clock;
  readonly #timeByPart = new Map<string, DecayingTime>();
  /** Parts that had a reported share when they were noted last. */
  readonly #busy = new Set<string>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Adds a request.
   *
   * @param id its last shared part
   * @param busyMs time for which the request takes the whole engine
   */
  note(id: string, busyMs: number): void {
    const nowMs = this.#clock.monotonicMs();
    const before = this.#timeByPart.get(id);
    const decayedMs = before === undefined ? 0 : decayed(before, nowMs);
    const time = { busyMs: decayedMs + busyMs, updatedAtMs: nowMs };
    this.#timeByPart.set(id, time);
    if (shareOf(time.busyMs) >= MIN_REPORTED_SHARE) this.#busy.add(id);
    if (this.#timeByPart.size > MAX_PARTS) this.#forgetNegligible(nowMs);
  }

  /** The parts with the largest shares, the largest first. */
  get busyParts(): readonly BusyPart[] {
    const nowMs = this.#clock.monotonicMs();
    const parts: BusyPart[] = [];
    for (const id of this.#busy) {
      const time = this.#timeByPart.get(id);
      const share = time === undefined ? 0 : shareOf(decayed(time, nowMs));
      if (share < MIN_REPORTED_SHARE) this.#busy.delete(id);
      else parts.push([id, rounded(share)]);
    }
    parts.sort(([, a], [, b]) => b - a);
    return parts.slice(0, MAX_REPORTED_PARTS);
  }

  #forgetNegligible(nowMs: number): void {
    for (const [id, time] of this.#timeByPart) {
      if (shareOf(decayed(time, nowMs)) >= NEGLIGIBLE_SHARE) continue;
      this.#timeByPart.delete(id);
      this.#busy.delete(id);
    }
  }
}

function decayed({ busyMs, updatedAtMs }: DecayingTime, nowMs: number): number {
  return busyMs * 0.5 ** ((nowMs - updatedAtMs) / HALF_LIFE_MS);
}

/** Share that leads to a decaying sum: the sum of a constant one is its area. */
function shareOf(busyMs: number): number {
  return (busyMs * Math.LN2) / HALF_LIFE_MS;
}

/** Keeps reports short and unchanged while the share hardly moves. */
function rounded(share: number): number {
  return Math.round(share * 100) / 100;
}
