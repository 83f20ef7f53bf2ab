/** When requests and prompt parts last had a sound response. */

import type { Clock } from "../common/clock.ts";

/**
 * Time after a sound response in which a crash doesn't count: what crashes
 * servers does so at each of them, so it can't be answered meanwhile.
 */
const SOUND_MS = 5_000;
/** Remembered suspects: those of 14 different prompts of 1,100 parts. */
const SOUND_LIMIT = 16_384;

/** Bounded map; the longest unused is dropped first. */
export class SoundSuspects {
  readonly #clock: Clock;
  readonly #atMs = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records a sound response at a monotonic time. */
  add(suspect: string, atMs: number): void {
    const latestMs = Math.max(atMs, this.atMs(suspect));
    this.#atMs.delete(suspect);
    this.#atMs.set(suspect, Math.min(latestMs, this.#clock.monotonicMs()));
    const oldest = this.#atMs.keys().next();
    if (this.#atMs.size > SOUND_LIMIT && oldest.done !== true)
      this.#atMs.delete(oldest.value);
  }

  /** Time of the last sound response; -Infinity if none is known. */
  atMs(suspect: string): number {
    return this.#atMs.get(suspect) ?? Number.NEGATIVE_INFINITY;
  }

  /** Whether a crash at a monotonic time doesn't count against a suspect. */
  covers(suspect: string, crashAtMs: number): boolean {
    return crashAtMs <= this.atMs(suspect) + SOUND_MS;
  }
}
