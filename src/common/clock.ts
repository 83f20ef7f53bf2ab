/** Time as seen by one process. */

/** A source of time; passed in wherever time is read. */
export interface Clock {
  /** Monotonic milliseconds with an arbitrary origin. */
  monotonicMs(): number;
  /** Milliseconds since the Unix epoch; may step. */
  wallMs(): number;
}

/** The clock of the operating system. */
export const systemClock: Clock = {
  monotonicMs: () => performance.now(),
  wallMs: () => Date.now(),
};
