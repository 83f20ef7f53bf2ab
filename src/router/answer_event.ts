/** What happens to an attempt, as its request's task sees it. */

import type { Data, End, Failed, Head, Refused } from "../protocol/mod.ts";

/** The side process can't be asked any more. */
export interface Lost {
  readonly type: "lost";
  readonly sentence: string;
}

/** One event; the last one is an end, a refusal, a failure or a loss. */
export type AnswerEvent = Head | Data | End | Refused | Failed | Lost;
