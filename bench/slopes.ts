/** What each role costs per connection, request, team, grant and change. */

import type { Slope } from "./slope.ts";
import {
  peerUpdates,
  routerConnections,
  sideProcessConnections,
} from "./slopes_of_connections.ts";
import { requests } from "./slopes_of_requests.ts";
import { teamsKnown, teamsWaiting } from "./slopes_of_teams.ts";

/** Measures every slope, one real process at a time. */
export async function measureSlopes(): Promise<Slope[]> {
  return [
    ...(await routerConnections([2, 50, 100])),
    ...(await sideProcessConnections([8, 104, 312])),
    ...(await peerUpdates([2, 13, 27])),
    ...(await requests([10, 50, 200])),
    ...(await teamsWaiting([10, 200, 1_700])),
    ...(await teamsKnown([100, 4_000, 17_000])),
  ];
}
