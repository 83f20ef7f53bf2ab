/**
 * Refuses what can't be served in time, and says when to come back.
 *
 * Answers a load beyond what the servers produce: a caller that learns early
 * can come back while its answer still counts, and one that never could be
 * served isn't kept waiting.
 */

import type { Demand } from "./demand.ts";

/** Why a request is refused. */
export type Reason = "no-server" | "no-room" | "too-late";

/** What is made of a request on arrival. */
export interface Judgement {
  /** Longest wait in the line; 0 refuses at once. */
  readonly holdMs: number;
  readonly reason: Reason;
  readonly retryAfterMs: number;
}

/** Part of its objective that a request may wait for a place. */
const HOLD_SHARE = 0.6;
/** Part of its objective after which a refused caller comes back. */
const RETURN_SHARE = 0.3;
/** Spread of callers that come back, as a part of their wait. */
const RETURN_SPREAD = 0.5;
/** Wait of a caller whose service has no server. */
const NO_SERVER_RETURN_MS = 500;

/** What is known when a request comes. */
export interface Outlook {
  readonly nowMs: number;
  /** Servers of the service that take work. */
  readonly servers: number;
}

/** Decides whether a request may wait, and for how long. */
export function judge(demand: Demand, outlook: Outlook): Judgement {
  const { nowMs, servers } = outlook;
  const retryAfterMs = returnAfterMs(demand);
  const leftMs = demand.deadlineAtMs - nowMs;
  if (leftMs <= 0) return { holdMs: 0, reason: "too-late", retryAfterMs };
  const holdMs = Math.min(demand.objectiveMs * HOLD_SHARE, leftMs / 2);
  if (servers === 0) {
    const waitMs = spread(NO_SERVER_RETURN_MS);
    return { holdMs: 0, reason: "no-server", retryAfterMs: waitMs };
  }
  return { holdMs, reason: "no-room", retryAfterMs };
}

/** Milliseconds after which a refused caller should come back. */
export function returnAfterMs({ objectiveMs }: Demand): number {
  return spread(objectiveMs * RETURN_SHARE);
}

/** Keeps callers that were refused together from coming back together. */
function spread(ms: number): number {
  return ms * (1 + RETURN_SPREAD * Math.random());
}
