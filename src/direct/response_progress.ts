/** How far the response to one send has come. */

import type { Clock } from "../common/clock.ts";

/**
 * A response that goes on for this long has begun soundly: what crashes a
 * server as it begins to respond does so within tens of milliseconds.
 */
const SOUND_BEGINNING_MS = 250;

/** Times of the data of one response's body. */
export class ResponseProgress {
  readonly #clock: Clock;
  #firstDataMs: number | null = null;
  #lastDataMs = 0;
  #longestPauseMs = 0;
  #wentOn = false;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Whether any data has come. */
  get hasData(): boolean {
    return this.#firstDataMs !== null;
  }

  /** Longest time between two pieces of data; 0 before the second. */
  get longestPauseMs(): number {
    return this.#longestPauseMs;
  }

  /** Whether data still came some time after the first. */
  get wentOn(): boolean {
    return this.#wentOn;
  }

  /** Records data; returns true on that by which the response went on. */
  recordData(): boolean {
    const nowMs = this.#clock.monotonicMs();
    const pauseMs = this.hasData ? nowMs - this.#lastDataMs : 0;
    this.#longestPauseMs = Math.max(this.#longestPauseMs, pauseMs);
    this.#lastDataMs = nowMs;
    this.#firstDataMs ??= nowMs;
    if (this.#wentOn) return false;
    this.#wentOn = nowMs - this.#firstDataMs >= SOUND_BEGINNING_MS;
    return this.#wentOn;
  }
}
