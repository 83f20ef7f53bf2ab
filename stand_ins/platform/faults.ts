/** Faults that the stand-in platform can be told to show. */

/** Switches; all off at the start. */
export interface Faults {
  /** Every call of the object API is refused with 503. */
  outage: boolean;
  /** Every call of the object API is accepted and never answered. */
  silent: boolean;
  /** Reads and watches answer with the version before the last one. */
  stale: boolean;
  /** Added to each answer of the object API. */
  delayMs: number;
  /** Writes that take effect and whose answer is lost. */
  loseAnswers: number;
  /** Beginning of the paths whose answers are lost; empty for all. */
  loseAnswersOf: string;
  /** Age of the instance list that is shown. */
  listLagMs: number;
  /** Calls a second beyond which 429 is answered; 0 for no limit. */
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
