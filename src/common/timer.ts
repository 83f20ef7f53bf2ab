/** Durations of timers. */

/** Timers with a longer duration fire at once. */
const RUNTIME_LIMIT_MS = 2 ** 31 - 1;
/** More than the runtime adds to durations that it is given. */
const MARGIN_MS = 60_000;

/** Longest duration of timers. */
export const LONGEST_TIMER_MS = RUNTIME_LIMIT_MS - MARGIN_MS;

/** Returns the duration that a timer can have: at most some 25 days. */
export function timerMs(durationMs: number): number {
  return Math.min(durationMs, LONGEST_TIMER_MS);
}
