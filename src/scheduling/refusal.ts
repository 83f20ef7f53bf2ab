/**
 * Limits how long requests wait, and tells refused callers when to retry.
 *
 * Under overload, a caller that is refused early can still retry in time, and
 * a request that can't be served isn't kept waiting.
 */

import type { Demand } from "./demand.ts";

/** Why no server is left that may get a request. */
export type Absence =
  /** No server is ready. */
  | "no-server"
  /** None is in the regions in which the request may be served. */
  | "outside-regions"
  /** All that may get it are in zones that the operator has emptied. */
  | "evacuated";

/** Why a request is refused. */
export type Reason =
  | Absence
  | "no-room"
  /** No server that may get the request takes any for a time. */
  | "paused"
  /** The limits that all servers name leave no room in time. */
  | "limited"
  | "too-late"
  | "stopping";

/** Whether a request may wait, decided on its arrival. */
export interface ArrivalDecision {
  /** Longest wait for a server; 0 refuses at once. */
  readonly maxWaitMs: number;
  /** Why it is refused: at once, or after `maxWaitMs` without a server. */
  readonly reason: Reason;
  readonly retryAfterMs: number;
}

/** Share of its objective that a request may wait for a server. */
const MAX_WAIT_SHARE = 0.6;
/** Share of its objective after which a refused caller should retry. */
const RETRY_AFTER_SHARE = 0.3;
/** Largest random addition to a retry delay, as a share of it. */
const RETRY_JITTER_SHARE = 0.5;
/**
 * Largest random addition to the rest of a pause, as a share of it: its end is
 * known, and from then on the server is idle.
 */
const PAUSE_JITTER_SHARE = 0.1;
/** Limits change with the load of servers, so a longer wait isn't foreseen. */
const MAX_RETRY_AFTER_MS = 10_000;
/** Retry delay of a caller whose service has no server. */
const NO_SERVER_RETRY_AFTER_MS = 500;
/**
 * Retry delay of a caller whose servers are all in emptied zones. Nobody knows when
 * the operator takes a zone back, but it takes seconds: a caller that came sooner
 * would spend one of its few retries on the same answer.
 */
const EVACUATED_RETRY_AFTER_MS = 2_000;
/** Retry delay of a caller that this router can't serve but another one may. */
export const SHORT_RETRY_AFTER_MS = 100;

/** State on the arrival of a request. */
export interface ArrivalContext {
  readonly nowMs: number;
  /** Why no server is left that may get it; null if one is. */
  readonly absence: Absence | null;
  /** Time until one of the servers takes requests; 0 if any does now. */
  readonly pauseMs: number;
  /** Expected wait for the limits that all servers name; 0 without limits. */
  readonly limitDelayMs: number;
}

/** Decides whether a request may wait, and for how long. */
export function decideOnArrival(
  demand: Demand,
  context: ArrivalContext,
): ArrivalDecision {
  const { nowMs, absence, pauseMs, limitDelayMs } = context;
  const retryAfterMs = retryDelayMs(demand, limitDelayMs);
  const leftMs = demand.deadlineAtMs - nowMs;
  if (leftMs <= 0) return { maxWaitMs: 0, reason: "too-late", retryAfterMs };
  const maxWaitMs = Math.min(demand.objectiveMs * MAX_WAIT_SHARE, leftMs / 2);
  if (absence !== null) {
    const delayMs = absenceDelayMs(absence);
    return { maxWaitMs: 0, reason: absence, retryAfterMs: delayMs };
  }
  if (pauseMs > 0) {
    const delayMs = pauseDelayMs(pauseMs);
    return { maxWaitMs: 0, reason: "paused", retryAfterMs: delayMs };
  }
  if (limitDelayMs > maxWaitMs)
    return { maxWaitMs: 0, reason: "limited", retryAfterMs };
  return { maxWaitMs, reason: "no-room", retryAfterMs };
}

/** Delay in milliseconds after which a request may have a server. */
export function absenceDelayMs(absence: Absence): number {
  const isEvacuated = absence === "evacuated";
  return withJitter(
    isEvacuated ? EVACUATED_RETRY_AFTER_MS : NO_SERVER_RETRY_AFTER_MS,
  );
}

/**
 * Delay in milliseconds after which a caller should retry that comes while all
 * servers are paused: not before the first of them takes requests.
 */
export function pauseDelayMs(pauseMs: number): number {
  return pauseMs * (1 + PAUSE_JITTER_SHARE * Math.random());
}

/**
 * Returns the latest time at which a request may be placed if connections are
 * closed at `closeAtMs`: a server may take the rest of the objective.
 */
export function lastPlacementAtMs(
  { objectiveMs }: Demand,
  closeAtMs: number,
): number {
  return closeAtMs - objectiveMs * (1 - MAX_WAIT_SHARE);
}

/**
 * Delay in milliseconds after which a refused caller should retry.
 *
 * @param limitDelayMs wait for the limits that all servers name
 */
export function retryDelayMs(
  { objectiveMs }: Demand,
  limitDelayMs: number,
): number {
  const delayMs = Math.max(objectiveMs * RETRY_AFTER_SHARE, limitDelayMs);
  return withJitter(Math.min(delayMs, MAX_RETRY_AFTER_MS));
}

/**
 * Adds up to half to a delay in milliseconds, so that callers that were refused
 * together don't retry together.
 */
export function withJitter(ms: number): number {
  return ms * (1 + RETRY_JITTER_SHARE * Math.random());
}
