/**
 * Expected wait of a request when every server of its service names a limit.
 *
 * Requests wait for the requests before them, at the rate of all limits
 * together. The team with the least recent usage goes first, so only a team with
 * about the most usage of all has to wait for all of them.
 */

import type { Demand } from "./demand.ts";
import type { ServerLoad } from "./server_load.ts";

/**
 * Share of the most usage that a waiting team has, above which a team counts as
 * last. Usage rises by whole requests, so teams with equal shares differ.
 */
const LAST_USAGE_SHARE = 0.7;
const MS_PER_SECOND = 1_000;

/** State of a service at one router. */
export interface LimitDelayContext {
  /** Servers that may get the request. */
  readonly loads: readonly ServerLoad[];
  /** Part of a limit that this router may use without permits, 0 to 1. */
  readonly share: number;
  /** Teams of the requests that wait here for a server or a permit. */
  readonly waitingTeams: () => ReadonlySet<string>;
  /** Requests that wait here and have requested no permit. */
  readonly queued: number;
  /** Recent usage by a team, in prompt tokens. */
  readonly usageOf: (team: string) => number;
}

/** Returns the wait in milliseconds; 0 if any server has no limit. */
export function limitDelayMs(
  { team }: Demand,
  { loads, share, waitingTeams, queued, usageOf }: LimitDelayContext,
): number {
  let requestsPerS = 0;
  let freeSlots = 0;
  let before = queued;
  for (const load of loads) {
    const capacity = load.limitedCapacity(share);
    // It will be more in a moment, so requests may wait for that.
    if (capacity === null || capacity.isProvisional) return 0;
    requestsPerS += capacity.requestsPerS;
    freeSlots += capacity.freeSlots;
    before += capacity.asks;
  }
  if (requestsPerS === 0) return 0;
  const mostUsage = Math.max(0, ...[...waitingTeams()].map(usageOf));
  const isLast = usageOf(team) >= mostUsage * LAST_USAGE_SHARE;
  const missingSlots = Math.max(0, (isLast ? before : 0) + 1 - freeSlots);
  return (missingSlots / requestsPerS) * MS_PER_SECOND;
}
