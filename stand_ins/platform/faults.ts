/** Faults that the stand-in platform can inject. */

/** Switches of the faults; all are off at the start. */
export interface Faults {
  /** Every call of the API is answered with 503. */
  outage: boolean;
  /** Every call of the API is accepted and never answered. */
  silent: boolean;
  /** Reads and watches see the version before the last one. */
  stale: boolean;
  /** Delay of each answer of the API. */
  delayMs: number;
  /** Number of next writes that take effect but whose answers are lost. */
  loseAnswers: number;
  /** Path prefix of the writes whose answers are lost; empty for all. */
  loseAnswersOf: string;
  /** Age of the instance list that is answered. */
  listLagMs: number;
  /** Calls per second above which 429 is answered; 0 for no limit. */
  callsPerSecond: number;
}

/** Returns the switches with all faults off. */
export function noFaults(): Faults {
  return {
    outage: false,
    silent: false,
    stale: false,
    delayMs: 0,
    loseAnswers: 0,
    loseAnswersOf: "",
    listLagMs: 0,
    callsPerSecond: 0,
  };
}
