/** Timestamps that stay valid when the process is suspended. */

import type { Clock } from "./clock.ts";

/** A time on both clocks: the monotonic one stops during a suspension. */
export interface Moment {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** Returns the current time. */
export function now(clock: Clock): Moment {
  return { monotonicMs: clock.monotonicMs(), wallMs: clock.wallMs() };
}

/** Returns the moment `byMs` milliseconds after another. */
export function momentAfter(
  { monotonicMs, wallMs }: Moment,
  byMs: number,
): Moment {
  return { monotonicMs: monotonicMs + byMs, wallMs: wallMs + byMs };
}

/**
 * Returns the milliseconds since a moment by the clock that shows more, so
 * that neither a suspension nor a wall clock that was set back makes the
 * result too small.
 */
export function elapsedMs(clock: Clock, since: Moment): number {
  return Math.max(
    clock.monotonicMs() - since.monotonicMs,
    clock.wallMs() - since.wallMs,
  );
}
