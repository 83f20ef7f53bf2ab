/** Whether a server can be trusted with more work, from what it did. */

/** Rest after a first failure to connect; doubles with each further one. */
const FIRST_REST_MS = 200;
/** Longest rest: a server that is back is found within it. */
const LONGEST_REST_MS = 2_000;
/** Weight of the newest outcome; about five outcomes decide. */
const LEARNING_RATE = 0.2;
/**
 * Time in which past failures count half: a server that gets no requests
 * can't show that it is well again.
 */
const HALF_LIFE_MS = 4_000;

/** Outcomes of one server. */
export class ServerHealth {
  #restUntilMs = Number.NEGATIVE_INFINITY;
  #unreachable = 0;
  #failureShare = 0;
  #judgedAtMs = 0;

  /** Share of recent requests that it failed, 0 to 1. */
  failureShare(nowMs: number): number {
    const ageMs = nowMs - this.#judgedAtMs;
    return this.#failureShare * 0.5 ** (ageMs / HALF_LIFE_MS);
  }

  /** Whether it may be tried at all. */
  isUsable(nowMs: number): boolean {
    return nowMs >= this.#restUntilMs;
  }

  /** Notes that no connection could be opened. */
  noteUnreachable(nowMs: number): void {
    const restMs = FIRST_REST_MS * 2 ** this.#unreachable;
    this.#unreachable += 1;
    this.#restUntilMs = nowMs + Math.min(restMs, LONGEST_REST_MS);
  }

  /** Notes that it shed a request, or is about to leave. */
  rest(nowMs: number, restMs: number): void {
    this.#restUntilMs = Math.max(this.#restUntilMs, nowMs + restMs);
  }

  /** Notes how a request ended. */
  noteOutcome(outcome: "served" | "failed", nowMs: number): void {
    const sample = outcome === "failed" ? 1 : 0;
    const share = this.failureShare(nowMs);
    this.#failureShare = share + LEARNING_RATE * (sample - share);
    this.#judgedAtMs = nowMs;
    if (outcome === "served") this.#unreachable = 0;
  }
}
