/** A point in monotonic time that is carried through every operation. */

import type { Clock } from "./clock.ts";

/** Ends an operation at a fixed monotonic time. */
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
