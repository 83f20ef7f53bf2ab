/** Bound on the permits that are issued in any window of time. */

import type { Clock } from "../common/clock.ts";

/** Times of the latest permits, oldest first. */
export class PermitWindow {
  readonly #clock: Clock;
  readonly #windowMs: number;
  #issuedAtMs: number[] = [];

  constructor(clock: Clock, windowMs: number) {
    this.#clock = clock;
    this.#windowMs = windowMs;
  }

  /** Permits that may be issued now, of at most `most` in any window. */
  free(most: number): number {
    return Math.max(0, most - this.#current.length);
  }

  /** Records a permit that is issued now. */
  add(): void {
    this.#issuedAtMs.push(this.#clock.monotonicMs());
  }

  get #current(): readonly number[] {
    const sinceMs = this.#clock.monotonicMs() - this.#windowMs;
    const first = this.#issuedAtMs[0];
    if (first !== undefined && first <= sinceMs)
      this.#issuedAtMs = this.#issuedAtMs.filter((ms) => ms > sinceMs);
    return this.#issuedAtMs;
  }
}
