/** Tracks failures of a server, and backs off from it. */

/** Backoff after a failure to connect; doubles with each further one. */
const FIRST_BACKOFF_MS = 200;
/** Longest backoff, so that a recovered server is found within it. */
const MAX_BACKOFF_MS = 2_000;
/** Weight of the newest outcome: the average spans about five outcomes. */
const LEARNING_RATE = 0.2;
/**
 * Time in which the weight of past failures halves. Without the decay, a
 * server that gets no requests could never show that it has recovered.
 */
const HALF_LIFE_MS = 4_000;

/** Health of one server, from the outcomes of its requests. */
export class ServerHealth {
  #backoffUntilMs = Number.NEGATIVE_INFINITY;
  #connectFailures = 0;
  #failureShare = 0;
  #updatedAtMs = 0;

  /** Decaying average of the share of requests that failed, 0 to 1. */
  failureShare(nowMs: number): number {
    const ageMs = nowMs - this.#updatedAtMs;
    return this.#failureShare * 0.5 ** (ageMs / HALF_LIFE_MS);
  }

  /** Whether no backoff is in effect. */
  isUsable(nowMs: number): boolean {
    return nowMs >= this.#backoffUntilMs;
  }

  /** Records that no connection could be opened. */
  noteUnreachable(nowMs: number): void {
    const backoffMs = FIRST_BACKOFF_MS * 2 ** this.#connectFailures;
    this.#connectFailures += 1;
    this.#backoffUntilMs = nowMs + Math.min(backoffMs, MAX_BACKOFF_MS);
  }

  /** Sends it no requests for `backoffMs`, after it shed one. */
  backOff(nowMs: number, backoffMs: number): void {
    this.#backoffUntilMs = Math.max(this.#backoffUntilMs, nowMs + backoffMs);
  }

  /** Records how a request ended. */
  noteOutcome(outcome: "served" | "failed", nowMs: number): void {
    const sample = outcome === "failed" ? 1 : 0;
    const share = this.failureShare(nowMs);
    this.#failureShare = share + LEARNING_RATE * (sample - share);
    this.#updatedAtMs = nowMs;
    if (outcome === "served") this.#connectFailures = 0;
  }
}
