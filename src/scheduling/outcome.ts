/** Outcomes of requests at servers. */

/** How a request at a server ended, as it counts for the server's health. */
export type Outcome =
  | "served"
  /** The server broke off its answer, or answered with a failure. */
  | "failed"
  /** No connection to the server could be opened. */
  | "unreachable"
  /** The server rejected the request as overloaded. */
  | "shed"
  /** Says nothing about the server: the caller left, for instance. */
  | "neutral";
