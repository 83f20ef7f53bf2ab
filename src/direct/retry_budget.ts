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

/** Share of the limits that is used, because each router counts on its own. */
const SAFETY_SHARE = 0.8;

/** Times of requests and retries within the window. */
interface Counts {
  readonly requests: number[];
  readonly retries: number[];
}

/** Counts requests and retries by service. */
export class RetryBudget {
  readonly #clock: Clock;
  #limits: RetryLimits;
  readonly #counts = new Map<string, Counts>();
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

  /** Counts a retry of a request for a service. */
  recordRetry(service: string): void {
    this.#of(service).retries.push(this.#clock.monotonicMs());
  }

  /** Whether the budget of the service allows another retry. */
  mayRetry(service: string): boolean {
    const { ratio, slack } = this.#limits;
    const { requests, retries } = this.#of(service);
    const allowedRetries = ratio * requests.length + slack / this.#routerCount;
    return retries.length + 1 <= allowedRetries * SAFETY_SHARE;
  }

  #of(service: string): Counts {
    const known = this.#counts.get(service);
    const counts = known ?? { requests: [], retries: [] };
    if (known === undefined) this.#counts.set(service, counts);
    const afterMs = this.#clock.monotonicMs() - this.#limits.windowMs;
    dropBefore(counts.requests, afterMs);
    dropBefore(counts.retries, afterMs);
    return counts;
  }
}

function dropBefore(times: number[], afterMs: number): void {
  const first = times.findIndex((atMs) => atMs > afterMs);
  times.splice(0, first === -1 ? times.length : first);
}
