/** The demo's load: 16 teams, a few large; unequal shares for the routers. */

import { deskDeployment } from "../fleet/deployments.ts";
import { keyOf } from "../fleet/fleet.ts";
import type { Plan } from "../fleet/plan.ts";
import type { LoadOptions, Pricing, TeamLoad } from "../load/workload.ts";

/** How the contracts of the desk deployment charge requests. */
export const DESK_PRICING: Pricing = {
  type: "tokens",
  promptWeight: 0.25,
  weightByKind: {},
};

const DURATION_MS = 15_000;
const SEED = 20261203;
/** Fewer slots than the deployment has, so that requests queue. */
const SLOTS = 4;
const LARGE_RATE = 24;
const SMALL_RATE = 5;
const FLOOD_RATE = 60;
const APP_RATE = 3;

/** Returns the plan of the demo's fleet. */
export function demoPlan(): Plan {
  const plan = deskDeployment();
  const services = plan.services.map((one) => ({ ...one, slots: SLOTS }));
  return { ...plan, services };
}

/** Returns the loads of all teams: chat and plain requests of each. */
export function demoLoads(plan: Plan): TeamLoad[] {
  return plan.document.teams.flatMap(({ name, contract }, index) => {
    const large = contract === "large";
    const weight =
      plan.document.contracts.find((one) => one.name === contract)?.weight ?? 1;
    const common = {
      team: name,
      key: keyOf(plan.teams, name),
      weight,
      hintError: 4,
      promptCharacters: [100, 2_000] as const,
      tokens: [20, 120] as const,
    };
    // The last team sends far more than its share.
    const flood = index === plan.document.teams.length - 1;
    const ratePerSecond = flood ? FLOOD_RATE : large ? LARGE_RATE : SMALL_RATE;
    const chat: TeamLoad = {
      ...common,
      ...{ service: "desk-model", type: "model", kind: "summary" },
      ratePerSecond,
    };
    const app: TeamLoad = {
      ...common,
      ...{ service: "desk-app", type: "plain", kind: "notice" },
      ratePerSecond: APP_RATE,
    };
    return [chat, app];
  });
}

/** Returns how the load is sent to the routers. */
export function demoOptions(routerUrls: readonly string[]): LoadOptions {
  return {
    routerUrls,
    routerWeights: [6, 2, 1],
    durationMs: DURATION_MS,
    seed: SEED,
    pricing: DESK_PRICING,
    stream: true,
  };
}
