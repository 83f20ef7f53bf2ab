/**
 * Expected wait of a request when every server of its service names a limit.
 *
 * Requests wait for the requests before them, at the rate of all limits
 * together. Teams take turns, so a team with few requests has fewer before it.
 */

import type { Demand } from "./demand.ts";
import type { ServerLoad } from "./server_load.ts";

const MS_PER_SECOND = 1_000;

/** State of a service at one router. */
export interface LimitDelayContext {
  /** Servers that may get the request. */
  readonly loads: readonly ServerLoad[];
  /** Part of a limit that this router may use without permits, 0 to 1. */
  readonly share: number;
  /** Requests of the service that wait here for a server or a permit. */
  readonly waiting: readonly Demand[];
  /** How many of them have requested no permit. */
  readonly queued: number;
}

/** Returns the wait in milliseconds; 0 if any server has no limit. */
export function limitDelayMs(
  { team }: Demand,
  { loads, share, waiting, queued }: LimitDelayContext,
): number {
  let requestsPerS = 0;
  let freeSlots = 0;
  let before = queued;
  for (const load of loads) {
    const capacity = load.limitedCapacity(share);
    if (capacity === null) return 0;
    requestsPerS += capacity.requestsPerS;
    freeSlots += capacity.freeSlots;
    before += capacity.asks;
  }
  if (requestsPerS === 0) return 0;
  const beforeInTurn = before * shareBefore(team, waiting);
  const missingSlots = Math.max(0, beforeInTurn + 1 - freeSlots);
  return (missingSlots / requestsPerS) * MS_PER_SECOND;
}

/**
 * Share of the waiting requests that come before the team's next one if teams
 * take turns. Requests at other routers are assumed to be divided alike.
 */
function shareBefore(team: string, waiting: readonly Demand[]): number {
  if (waiting.length === 0) return 1;
  const countByTeam = new Map<string, number>();
  for (const { team: other } of waiting)
    countByTeam.set(other, (countByTeam.get(other) ?? 0) + 1);
  const turns = (countByTeam.get(team) ?? 0) + 1;
  let before = 0;
  for (const count of countByTeam.values()) before += Math.min(count, turns);
  return before / waiting.length;
}
