/**
 * When a gate reports to its routers.
 *
 * Answers a fleet that grows: what all reports together cost a gate must not
 * grow with the routers, nor what a router takes in with the gates.
 */

import type { Clock } from "../common/clock.ts";

/**
 * Time between two reports for each router that is connected. Four routers
 * hear twenty times a second, which is soon beside objectives of 0.2 s.
 */
const INTERVAL_PER_ROUTER_MS = 12.5;
/** Longest time between two reports: half of what service counts for. */
const LONGEST_INTERVAL_MS = 1_000;

/** Tells when the next report is due. */
export class ReportPace {
  readonly #clock: Clock;
  #reportedAtMs = Number.NEGATIVE_INFINITY;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Whether a report is due now; if so, the next one is due later. */
  takeDue({ routers }: { readonly routers: number }): boolean {
    const nowMs = this.#clock.monotonicMs();
    const intervalMs = routers * INTERVAL_PER_ROUTER_MS;
    const sinceMs = nowMs - this.#reportedAtMs;
    if (sinceMs < Math.min(intervalMs, LONGEST_INTERVAL_MS)) return false;
    this.#reportedAtMs = nowMs;
    return true;
  }
}
