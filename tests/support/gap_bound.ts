/** Bound on the fairness gap; docs/DESIGN.md derives it. */

import type { Plan } from "../../tools/fleet/plan.ts";

/** Default of the setting `grantsAhead`: grants beyond the slots. */
const DEFAULT_GRANTS_AHEAD = 1;
/** Cost hints are off by up to this factor, and so are learned estimates. */
const ESTIMATE_ERROR_FACTOR = 4;

/**
 * Returns the bound in normalised service. It adds up, in units of the largest
 * charge: the requests in flight at all servers; one quantum for each pair of
 * replicas (and at least one for each replica) that is not reported to the peer
 * yet; and one request that costs more than its charge by the estimate error.
 */
export function gapBound({ services }: Plan, largestCharge: number): number {
  const [service] = services;
  if (service === undefined) return 0;
  const { replicas, slots, grantsAhead = DEFAULT_GRANTS_AHEAD } = service;
  const inFlight = replicas * (slots + grantsAhead);
  const quanta = replicas * Math.max(1, (replicas - 1) / 2);
  return largestCharge * (inFlight + quanta + ESTIMATE_ERROR_FACTOR);
}
