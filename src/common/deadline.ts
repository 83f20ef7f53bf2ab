/** Deadlines on the monotonic clock. */

import type { Clock } from "./clock.ts";

/** The time by which an operation must end. */
export class Deadline {
  readonly #clock: Clock;
  readonly #atMs: number;

  constructor(clock: Clock, timeoutMs: number) {
    this.#clock = clock;
    this.#atMs = clock.monotonicMs() + timeoutMs;
  }

  /** Milliseconds left; zero once the deadline has passed. */
  get remainingMs(): number {
    return Math.max(0, this.#atMs - this.#clock.monotonicMs());
  }

  /** Whether the deadline has passed. */
  get expired(): boolean {
    return this.remainingMs === 0;
  }
}
