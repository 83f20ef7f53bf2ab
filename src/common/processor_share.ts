/** Measures how much processor time this process uses. */

import type { Clock } from "./clock.ts";

const MICROSECONDS_PER_MS = 1_000;

/** Share of one processor that the process has used since the last reading. */
export class ProcessorShare {
  readonly #clock: Clock;
  #usage = process.cpuUsage();
  #readAtMs: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#readAtMs = clock.monotonicMs();
  }

  /** Returns the share, 0 to 1 or more with several threads, and restarts. */
  take(): number {
    const nowMs = this.#clock.monotonicMs();
    const { user, system } = process.cpuUsage(this.#usage);
    const elapsedMs = nowMs - this.#readAtMs;
    this.#usage = process.cpuUsage();
    this.#readAtMs = nowMs;
    if (elapsedMs <= 0) return 0;
    return (user + system) / MICROSECONDS_PER_MS / elapsedMs;
  }
}
