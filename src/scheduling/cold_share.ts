/**
 * What one router may send without permits to a server that may be cold.
 *
 * Routers that can't ask an admission controller don't know of each other's
 * requests, nor at once that the server has turned cold.
 */

import type { Clock } from "../common/clock.ts";
import { RequestLimit } from "./request_limit.ts";

/**
 * Part of the rate that a cold server tolerates which routers without permits
 * use together. Their slots have random phases, so a multiple of the mean may
 * fall into one of the many seconds in which the bound holds.
 */
export const COLD_SHARE_OF_RATE = 0.5;
/** As long as queued requests are checked at; see `scheduler.ts`. */
const SLOT_LIFETIME_MS = 50;

/** Dependencies of `ColdShare`. */
export interface ColdShareDependencies {
  readonly clock: Clock;
  /**
   * Requests per second from all routers that the server tolerates, while they
   * are bounded; null while they aren't.
   */
  readonly toleratedPerS: () => number | null;
  /** Part that one router may use, 0 to 1. */
  readonly share: () => number;
}

/** One router's slots at one server. */
export class ColdShare {
  readonly #deps: ColdShareDependencies;
  readonly #limit: RequestLimit;
  #setPerS: number | null = null;

  constructor(deps: ColdShareDependencies) {
    this.#deps = deps;
    const slotLifetimeMs = SLOT_LIFETIME_MS;
    this.#limit = new RequestLimit(deps.clock, { slotLifetimeMs });
  }

  /** Requests per second that this router may send; null for any number. */
  get requestsPerS(): number | null {
    const limit = this.#current;
    if (limit?.requestsPerS == null) return null;
    return limit.requestsPerS * this.#deps.share();
  }

  /** Time in ms until a request may be sent; 0 if one may be sent now. */
  get delayMs(): number {
    return this.#current?.delayMs(this.#deps.share()) ?? 0;
  }

  /** Requests that may be sent now; 0 while they aren't bounded. */
  get freeSlots(): number {
    return this.#current?.freeSlots(this.#deps.share()) ?? 0;
  }

  /** Takes a slot for a request that is sent now. */
  spend(): void {
    this.#current?.spend(this.#deps.share());
  }

  /** The limit with the rate in force; null while requests aren't bounded. */
  get #current(): RequestLimit | null {
    const toleratedPerS = this.#deps.toleratedPerS();
    if (toleratedPerS === null) return null;
    if (toleratedPerS !== this.#setPerS) {
      const requestsPerS = toleratedPerS * COLD_SHARE_OF_RATE;
      const sentAtMs = this.#deps.clock.monotonicMs();
      this.#limit.observe({ requestsPerS, sentAtMs });
      this.#setPerS = toleratedPerS;
    }
    return this.#limit;
  }
}
