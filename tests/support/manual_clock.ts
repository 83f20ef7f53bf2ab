/** A clock that tests advance by hand. */

import type { Clock } from "../../src/common/clock.ts";

/** A monotonic and a wall clock that don't advance by themselves. */
export interface ManualClock extends Clock {
  /** Advances both clocks. */
  pass(ms: number): void;
  /** Changes the wall clock only, as a suspension or a clock step does. */
  step(ms: number): void;
}

/** Returns a clock at which both times are 1,000 ms. */
export function createClock(): ManualClock {
  let monotonicMs = 1_000;
  let wallMs = 1_000;
  return {
    monotonicMs: () => monotonicMs,
    wallMs: () => wallMs,
    pass: (ms) => {
      monotonicMs += ms;
      wallMs += ms;
    },
    step: (ms) => {
      wallMs += ms;
    },
  };
}
