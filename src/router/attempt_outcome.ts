/** How attempts end, and what the router does next. */

import type { AttemptFailure, AttemptRefusal } from "../protocol/mod.ts";
import type { Failure } from "./failure.ts";
import type { Lost } from "./response_event.ts";

/** How an attempt ended. */
export type AttemptOutcome =
  | { readonly type: "answered" }
  | { readonly type: "caller-gone" }
  | { readonly type: "deadline" }
  | AttemptRefusal
  | AttemptFailure
  | Lost;

/** What to do after an attempt. */
export type RetryDecision =
  | { readonly type: "done" }
  | { readonly type: "fail"; readonly failure: Failure }
  | { readonly type: "requeue"; readonly afterMs: number }
  | { readonly type: "retry" };

/**
 * Returns whether a backend server may have run the attempt although the
 * router has no complete response of it.
 */
export function mayHaveRun(outcome: AttemptOutcome): boolean {
  switch (outcome.type) {
    case "lost":
      return true;
    case "failed":
      return outcome.outcome !== "not-run";
    case "answered":
    case "caller-gone":
    case "deadline":
    case "refused":
      return false;
    default:
      return outcome satisfies never;
  }
}
