/** The record that a scenario keeps of each call. */

import type { CallResult } from "../../tools/load/caller.ts";

/** A call that a scenario made; `result` is null until it has ended. */
export interface CallRecord {
  readonly text: string;
  /** SHA-256 of the body in hex, as in the backend servers' run logs. */
  readonly bodyHash: string;
  readonly team: string;
  readonly idempotent: boolean;
  /** Empty for a call without a key. */
  readonly idempotencyKey: string;
  /** Index of the router that it was sent to. */
  readonly router: number;
  readonly ended: Promise<CallResult>;
  result: CallResult | null;
}
