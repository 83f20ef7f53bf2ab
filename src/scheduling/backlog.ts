/** Estimates the work that is queued at an engine. */

import type { ServerLoad } from "./server_load.ts";

/** Work that an engine has to do before a new request. */
export interface Backlog {
  readonly tokens: number;
  readonly runs: number;
  /** Prefill rate, in tokens/ms. */
  readonly tokensPerMs: number;
}

/**
 * Returns the work of all routers, as reported, or an estimate from the router's
 * own.
 *
 * @param share share of the engine that this router may use, 0 to 1
 */
export function backlogAt(
  { ownWork, admission, prefillRate }: ServerLoad,
  share: number,
): Backlog {
  const report = admission?.report ?? null;
  if (report === null) {
    // Without a report, other routers are assumed to send as much as this one.
    const tokens = ownWork.unreadTokens / share;
    return { tokens, runs: ownWork.runs, tokensPerMs: prefillRate.tokensPerMs };
  }
  const { unreadTokens, askedTokens, runs, tokensPerMs } = report;
  return { tokens: unreadTokens + askedTokens, runs, tokensPerMs };
}
