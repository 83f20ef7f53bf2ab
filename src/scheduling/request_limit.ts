/**
 * The limit on requests that an overloaded backend server names.
 *
 * A server states in its responses how many requests per second it takes from
 * all routers together, and no longer states it once it has recovered.
 */

import type { Clock } from "../common/clock.ts";

/**
 * Time for which an unused slot can still be used. It bounds bursts after a
 * pause, and routers that each use a share of a limit have no other bound on
 * what they send together.
 */
const SLOT_LIFETIME_MS = 1_500;
/**
 * Rate of requests to a server that takes fewer or none. Only a response shows
 * that a limit has ended.
 */
const TRIAL_REQUESTS_PER_S = 0.25;
const MS_PER_SECOND = 1_000;

/** What a response states, and when its request was sent. */
export interface LimitObservation {
  /** Requests per second; null if the server takes any number. */
  readonly requestsPerS: number | null;
  /** Monotonic time. */
  readonly sentAtMs: number;
}

/**
 * Paces requests to one server: each takes a slot, and slots are as far apart
 * as the limit demands.
 */
export class RequestLimit {
  readonly #clock: Clock;
  readonly #slotLifetimeMs: number;
  #requestsPerS: number | null = null;
  #namedAtMs = Number.NEGATIVE_INFINITY;
  /** Null until the first slot of a limit is set. */
  #nextSlotAtMs: number | null = null;

  /** @param slotLifetimeMs time for which an unused slot can still be used */
  constructor(
    clock: Clock,
    { slotLifetimeMs = SLOT_LIFETIME_MS }: { slotLifetimeMs?: number } = {},
  ) {
    this.#clock = clock;
    this.#slotLifetimeMs = slotLifetimeMs;
  }

  /** The limit in force; null if there is none. */
  get requestsPerS(): number | null {
    return this.#requestsPerS;
  }

  /**
   * Applies what a response states; returns whether it changed the limit. A
   * request that was sent before the limit was last named can't end it: its
   * response may be older than the one that named it.
   */
  observe({ requestsPerS, sentAtMs }: LimitObservation): boolean {
    const before = this.#requestsPerS;
    const nowMs = this.#clock.monotonicMs();
    if (requestsPerS === null) {
      if (sentAtMs > this.#namedAtMs) this.#requestsPerS = null;
      return before !== this.#requestsPerS;
    }
    this.#requestsPerS = requestsPerS;
    this.#namedAtMs = nowMs;
    if (before === null) this.#nextSlotAtMs = null;
    return before !== requestsPerS;
  }

  /**
   * Time until a request may be sent; 0 if it may be sent now.
   *
   * @param share part of the limit that the caller may use, 0 to 1
   */
  delayMs(share: number): number {
    if (this.#requestsPerS === null) return 0;
    const nextAtMs = this.#skipUnused(this.#requestsPerS, share);
    return Math.max(0, nextAtMs - this.#clock.monotonicMs());
  }

  /** Number of requests that may be sent now; 0 if there is no limit. */
  freeSlots(share: number): number {
    const requestsPerS = this.#requestsPerS;
    if (requestsPerS === null) return 0;
    const nextAtMs = this.#skipUnused(requestsPerS, share);
    const unusedMs = this.#clock.monotonicMs() - nextAtMs;
    if (unusedMs < 0) return 0;
    return 1 + Math.floor(unusedMs / intervalMs(requestsPerS, share));
  }

  /** Takes a slot for a request that is sent now. */
  spend(share: number): void {
    if (this.#requestsPerS === null) return;
    const nextAtMs = this.#skipUnused(this.#requestsPerS, share);
    this.#nextSlotAtMs = nextAtMs + intervalMs(this.#requestsPerS, share);
  }

  /** Skips slots that were left unused; returns the time of the next one. */
  #skipUnused(requestsPerS: number, share: number): number {
    const nowMs = this.#clock.monotonicMs();
    const interval = intervalMs(requestsPerS, share);
    // Routers learn of a limit at the same time: their slots are spread.
    let nextAtMs = this.#nextSlotAtMs ?? nowMs + Math.random() * interval;
    // The limit or the share may have grown since the slot was set.
    nextAtMs = Math.min(nextAtMs, nowMs + interval);
    const lapsedMs = nowMs - this.#slotLifetimeMs - nextAtMs;
    if (lapsedMs > 0) nextAtMs += Math.ceil(lapsedMs / interval) * interval;
    this.#nextSlotAtMs = nextAtMs;
    return nextAtMs;
  }
}

/** Requests per second that are sent to a server with the limit. */
export function effectiveRate(requestsPerS: number): number {
  return Math.max(requestsPerS, TRIAL_REQUESTS_PER_S);
}

function intervalMs(requestsPerS: number, share: number): number {
  return MS_PER_SECOND / (effectiveRate(requestsPerS) * share);
}
