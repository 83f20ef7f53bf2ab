/** How requests at servers end. */

/** How a request at a server ended. */
export type Outcome =
  | "served"
  /** The server broke off, or answered that it failed. */
  | "failed"
  /** The server took no connection. */
  | "unreachable"
  /** The server said that it has no room. */
  | "shed"
  /** Neither well nor badly, such as a caller that left. */
  | "neutral";
