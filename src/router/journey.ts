/** What a request went through at this router, to explain its time. */

import type { Cause } from "../report/mod.ts";

/** Filled in while a request is served. */
export interface Journey {
  waitedMs: number;
  retries: number;
  /** Whether an attempt was lost that may have run. */
  mayHaveRun: boolean;
}

/** Returns a journey that has just begun. */
export function begin(): Journey {
  return { waitedMs: 0, retries: 0, mayHaveRun: false };
}

/** Returns the cause that a missed target is put down to. */
export function cause(
  { waitedMs, retries }: Journey,
  completionMs: number,
): Cause {
  if (retries > 0) return "retry";
  return waitedMs > completionMs / 2 ? "waiting" : "engine";
}
