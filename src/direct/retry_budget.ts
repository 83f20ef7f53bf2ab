/** Retry budget: limits retries to a share of the requests. */

import type { Clock } from "../common/clock.ts";

/** Limits that operators set. */
export interface RetryLimits {
  /** Retries per request. */
  readonly ratio: number;
  /** Sliding window in which requests and retries are counted. */
  readonly windowMs: number;
  /** Retries beyond the ratio, shared by all routers. */
  readonly slack: number;
}

/** Share of its limits that a router uses: routers don't share their counts. */
const SAFETY_SHARE = 0.8;

/** Monotonic times, in ms, of requests and retries within the window. */
interface RecentTimes {
  readonly requests: number[];
  readonly retries: number[];
}

/** A retry that counts against the budget from its decision on. */
export interface RetryReservation {
  /** Tells that it was sent. */
  spend(): void;
  /** Gives it back if it wasn't sent. */
  release(): void;
}

/** Counts requests and retries by service. */
export class RetryBudget {
  readonly #clock: Clock;
  #limits: RetryLimits;
  readonly #timesByService = new Map<string, RecentTimes>();
  #routerCount = 1;

  constructor(clock: Clock, limits: RetryLimits) {
    this.#clock = clock;
    this.#limits = limits;
  }

  /** Applies changed limits. */
  setLimits(limits: RetryLimits): void {
    this.#limits = limits;
  }

  /** Sets the number of routers that share the slack. */
  setRouterCount(routers: number): void {
    this.#routerCount = Math.max(1, routers);
  }

  /** Counts a request for a service. */
  recordRequest(service: string): void {
    this.#of(service).requests.push(this.#clock.monotonicMs());
  }

  /**
   * Counts a retry of a request for a service; returns null if the budget
   * doesn't allow one.
   */
  reserveRetry(service: string): RetryReservation | null {
    const { ratio, slack } = this.#limits;
    const { requests, retries } = this.#of(service);
    const allowedRetries = ratio * requests.length + slack / this.#routerCount;
    if (retries.length + 1 > allowedRetries * SAFETY_SHARE) return null;
    const atMs = this.#clock.monotonicMs();
    retries.push(atMs);
    let isOpen = true;
    return {
      spend: () => {
        isOpen = false;
      },
      release: () => {
        const index = isOpen ? retries.indexOf(atMs) : -1;
        isOpen = false;
        if (index !== -1) retries.splice(index, 1);
      },
    };
  }

  #of(service: string): RecentTimes {
    const known = this.#timesByService.get(service);
    const times = known ?? { requests: [], retries: [] };
    if (known === undefined) this.#timesByService.set(service, times);
    const afterMs = this.#clock.monotonicMs() - this.#limits.windowMs;
    dropBefore(times.requests, afterMs);
    dropBefore(times.retries, afterMs);
    return times;
  }
}

function dropBefore(times: number[], afterMs: number): void {
  const first = times.findIndex((atMs) => atMs > afterMs);
  times.splice(0, first === -1 ? times.length : first);
}
