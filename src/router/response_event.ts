/** Events of an attempt, in the order in which its request processes them. */

import type {
  AttemptFailure,
  AttemptRefusal,
  Data,
  End,
  Head,
} from "../protocol/mod.ts";

/**
 * The router no longer waits for the side process: it can't be reached or has
 * restarted, the deadline has passed, or the caller has disconnected.
 */
export interface Lost {
  readonly type: "lost";
  readonly sentence: string;
}

/** One event; the last of an attempt is an end, refusal, failure or loss. */
export type ResponseEvent =
  | Head
  | Data
  | End
  | AttemptRefusal
  | AttemptFailure
  | Lost;
