/** The bound on the fairness gap that docs/DESIGN.md derives. */

import type { Plan } from "../../tools/fleet/plan.ts";

/** Grants beyond the slots; the default of the settings. */
const GRANTS_AHEAD = 1;
/** Estimates are learned from hints that are off by up to this. */
const ESTIMATE_ERROR = 4;

/**
 * In flight at every server, a request beyond its charge by the error of
 * estimates, plus what peers do not know yet: a quantum for each.
 */
export function gapBound({ services }: Plan, largestCharge: number): number {
  const [service] = services;
  if (service === undefined) return 0;
  const { replicas, slots, grantsAhead = GRANTS_AHEAD } = service;
  const inFlight = replicas * (slots + grantsAhead);
  const quanta = replicas * Math.max(1, (replicas - 1) / 2);
  return largestCharge * (inFlight + quanta + ESTIMATE_ERROR);
}
