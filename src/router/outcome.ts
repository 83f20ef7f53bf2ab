/** How attempts end, and what follows from it. */

import type { Failed, Refused } from "../protocol/mod.ts";
import type { Lost } from "./answer_event.ts";
import type { Failure } from "./failure.ts";

/** How an attempt ended. */
export type Outcome =
  | { readonly type: "answered" }
  | { readonly type: "caller-gone" }
  | { readonly type: "deadline" }
  | Refused
  | Failed
  | Lost;

/** What to do after an attempt. */
export type Decision =
  | { readonly type: "done" }
  | { readonly type: "fail"; readonly failure: Failure }
  | { readonly type: "requeue"; readonly afterMs: number }
  | { readonly type: "retry" };

/** Whether an attempt may have run without a whole answer. */
export function mayHaveRun(outcome: Outcome): boolean {
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
