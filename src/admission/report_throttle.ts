/**
 * Limits how often an admission controller reports its engine's load to the
 * routers.
 *
 * The interval grows with the number of routers. Neither the total cost of
 * reports at one admission controller nor the reports that one router receives
 * from all of them grow with the fleet.
 */

import type { Clock } from "../common/clock.ts";

/**
 * Interval per connected router. Four routers get 20 reports per second, which
 * is fast enough for latency objectives of 0.2 s.
 */
const INTERVAL_PER_ROUTER_MS = 12.5;
/** Reports carry recent usage, which halves in 2 s; this is half of that. */
const MAX_INTERVAL_MS = 1_000;

/** Decides when the next report may be sent. */
export class ReportThrottle {
  readonly #clock: Clock;
  #reportedAtMs = Number.NEGATIVE_INFINITY;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Returns whether a report is due now; if so, the interval starts anew. */
  tryAcquire(fleet: { readonly routers: number }): boolean {
    if (this.delayMs(fleet) > 0) return false;
    this.#reportedAtMs = this.#clock.monotonicMs();
    return true;
  }

  /** Time until the next report is due, in milliseconds. */
  delayMs({ routers }: { readonly routers: number }): number {
    const intervalMs = Math.min(
      routers * INTERVAL_PER_ROUTER_MS,
      MAX_INTERVAL_MS,
    );
    const elapsedMs = this.#clock.monotonicMs() - this.#reportedAtMs;
    return Math.max(0, intervalMs - elapsedMs);
  }
}
