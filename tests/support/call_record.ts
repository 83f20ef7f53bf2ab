/** What a scenario's caller sent and got. */

import type { CallResult } from "../../tools/load/caller.ts";

/** One call; `result` is null until it has ended. */
export interface CallRecord {
  readonly text: string;
  readonly bodyHash: string;
  readonly team: string;
  readonly idempotent: boolean;
  readonly idempotencyKey: string;
  readonly router: number;
  readonly ended: Promise<CallResult>;
  result: CallResult | null;
}
