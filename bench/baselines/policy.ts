/** The one decision in which the baselines differ. */

/** How a baseline router decides where and when a request runs. */
export type Policy =
  /** First come, first served, engines in turn; they queue. */
  | "round-robin"
  /** Fair queues in each router, each with a fixed share of the slots. */
  | "static-shares"
  /** Straight to the engine with the least load; engines queue. */
  | "least-load";

/** Every baseline. */
export const POLICIES: readonly Policy[] = [
  "round-robin",
  "static-shares",
  "least-load",
];
