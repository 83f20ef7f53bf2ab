/** Waits and retries of a request, which explain its latency. */

import type { Cause } from "../report/mod.ts";

/** Updated while a request is served. */
export interface RequestHistory {
  /** Time spent waiting for a side process, over all attempts. */
  waitedMs: number;
  retries: number;
  /** Whether an attempt without a complete response may have run. */
  mayHaveRun: boolean;
}

/** Returns the history of a new request. */
export function create(): RequestHistory {
  return { waitedMs: 0, retries: 0, mayHaveRun: false };
}

/** Returns the cause that the burn-rate report gives for a missed target. */
export function missedTargetCause(
  { waitedMs, retries }: RequestHistory,
  completionMs: number,
): Cause {
  if (retries > 0) return "retry";
  return waitedMs > completionMs / 2 ? "waiting" : "engine";
}
