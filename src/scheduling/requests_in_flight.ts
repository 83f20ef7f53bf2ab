/** Requests in flight at one server, and the sum of their work. */

import { add, IDLE, subtract, type Work } from "./work.ts";

/** A request in flight at a server. */
export interface RequestInFlight {
  /** Prompt tokens still to be prefilled; 0 from the first token on. */
  unreadTokens: number;
  /** Tokens of KV cache that it needs beyond shared prefixes. */
  readonly privateTokens: number;
  /** Prompt tokens to be prefilled when it was sent, its own included. */
  readonly backlogTokens: number;
  /** Monotonic time at which it was sent. */
  readonly sentAtMs: number;
  /** Longest pause between its events that is on time; null for any. */
  readonly eventGapMs: number | null;
}

/** Tokens that a request adds to the work of a server. */
export interface RequestSize {
  readonly uncachedTokens: number;
  readonly privateTokens: number;
  /** Longest pause between its events that is on time; absent for any. */
  readonly eventGapMs?: number | null;
}

/** Tracks requests from sending through prefill to their end. */
export class RequestsInFlight {
  #work: Work = IDLE;
  /** Requests before their first token, in the order of sending. */
  readonly #inPrefill = new Set<RequestInFlight>();

  /** Total work of the requests in flight. */
  get work(): Work {
    return this.#work;
  }

  /** The request that has waited longest for its first token; or null. */
  get oldestInPrefill(): RequestInFlight | null {
    const [oldest = null] = this.#inPrefill;
    return oldest;
  }

  /** Adds a request that is sent now. */
  begin(
    { uncachedTokens, privateTokens, eventGapMs = null }: RequestSize,
    nowMs: number,
  ): RequestInFlight {
    const run = {
      ...{ unreadTokens: uncachedTokens, privateTokens },
      backlogTokens: this.#work.unreadTokens + uncachedTokens,
      ...{ sentAtMs: nowMs, eventGapMs },
    };
    this.#work = add(this.#work, workOf(run));
    if (run.unreadTokens > 0) this.#inPrefill.add(run);
    return run;
  }

  /** Marks a request's prompt as prefilled. */
  markPrefilled(run: RequestInFlight): void {
    const { unreadTokens } = run;
    this.#work = subtract(this.#work, { ...IDLE, unreadTokens });
    run.unreadTokens = 0;
    this.#inPrefill.delete(run);
  }

  /** Removes a request that has ended. */
  end(run: RequestInFlight): void {
    this.#inPrefill.delete(run);
    this.#work = subtract(this.#work, workOf(run));
  }
}

function workOf({ unreadTokens, privateTokens }: RequestInFlight): Work {
  return { runs: 1, unreadTokens, privateTokens };
}
