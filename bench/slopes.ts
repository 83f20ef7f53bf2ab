/** Cost of each role per connection, request, team, grant and change. */

import {
  measurePeerUpdates,
  measureRouterConnections,
  measureSideProcessConnections,
} from "./connection_slopes.ts";
import { measureRequests } from "./request_slopes.ts";
import type { Slope } from "./slope.ts";
import { measureTeamsKnown, measureTeamsWaiting } from "./team_slopes.ts";

/** Measures every slope, one after the other. */
export async function measureSlopes(): Promise<Slope[]> {
  return [
    ...(await measureRouterConnections([2, 50, 100])),
    ...(await measureSideProcessConnections([8, 104, 312])),
    ...(await measurePeerUpdates([2, 13, 27])),
    ...(await measureRequests([10, 50, 200])),
    ...(await measureTeamsWaiting([10, 200, 1_700])),
    ...(await measureTeamsKnown([100, 4_000, 17_000])),
  ];
}
