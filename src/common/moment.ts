/** Moments between which a process may have been suspended. */

import type { Clock } from "./clock.ts";

/** A moment by both clocks: the monotonic one stops while suspended. */
export interface Moment {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** Returns the present moment. */
export function now(clock: Clock): Moment {
  return { monotonicMs: clock.monotonicMs(), wallMs: clock.wallMs() };
}

/** Returns the moment some milliseconds after another. */
export function later({ monotonicMs, wallMs }: Moment, byMs: number): Moment {
  return { monotonicMs: monotonicMs + byMs, wallMs: wallMs + byMs };
}

/**
 * Milliseconds since a moment, by the clock that shows more: neither a
 * suspension nor a wall clock that steps back makes the past look recent.
 */
export function elapsedMs(clock: Clock, since: Moment): number {
  return Math.max(
    clock.monotonicMs() - since.monotonicMs,
    clock.wallMs() - since.wallMs,
  );
}
