/** Clocks of one process. */

/** A source of time; passed to everything that reads the time. */
export interface Clock {
  /** Monotonic milliseconds with an arbitrary origin. */
  monotonicMs(): number;
  /** Milliseconds since the Unix epoch; may jump in both directions. */
  wallMs(): number;
}

/** The clock of the operating system. */
export const systemClock: Clock = {
  monotonicMs: () => performance.now(),
  wallMs: () => Date.now(),
};
