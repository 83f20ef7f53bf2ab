/** The scheduling policies of the baseline routers. */

/** How a baseline router chooses the engine and start time of a request. */
export type Policy =
  /** Sends each request to the next engine at once; engines queue (FIFO). */
  | "round-robin"
  /** Queues fairly by team; each router has a fixed share of the slots. */
  | "static-shares"
  /** Sends each request to the least loaded engine at once; engines queue. */
  | "least-load";

/** Every policy. */
export const POLICIES: readonly Policy[] = [
  "round-robin",
  "static-shares",
  "least-load",
];
