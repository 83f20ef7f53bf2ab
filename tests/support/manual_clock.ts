/** A clock that tests advance by hand. */

import type { Clock } from "../../src/common/clock.ts";

/** A monotonic and a wall clock that don't advance by themselves. */
export interface ManualClock extends Clock {
  /** Advances both clocks. */
  advance(ms: number): void;
  /** Changes the wall clock only, as a suspension or a clock step does. */
  stepWallClock(ms: number): void;
}

/** Returns a clock at which both times are 1,000 ms. */
export function createManualClock(): ManualClock {
  let monotonicMs = 1_000;
  let wallMs = 1_000;
  return {
    monotonicMs: () => monotonicMs,
    wallMs: () => wallMs,
    advance: (ms) => {
      monotonicMs += ms;
      wallMs += ms;
    },
    stepWallClock: (ms) => {
      wallMs += ms;
    },
  };
}
