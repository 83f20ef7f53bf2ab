/** Cost of a router and a side process per request a second. */

import { type Fleet, keyOf, type Member } from "../tools/fleet/fleet.ts";
import type { Plan } from "../tools/fleet/plan.ts";
import { runOpenLoop, type TeamLoad } from "../tools/load/workload.ts";
import {
  createPlan,
  measureUsage,
  type ProcessUsage,
  SETTLE_MS,
  sideProcessOf,
  WINDOW_MS,
  withFleet,
} from "./process_usage.ts";
import { createUsageSlopes, type Slope } from "./slope.ts";

const TEAM = "desk-01";
const TOKENS = 20;
const PROMPT_CHARACTERS = 20;
/** Enough that no request waits; waiting teams are measured separately. */
const SLOTS = 64;
const SEED = 1;

/** Measures one router and one side process that stream at several rates. */
export async function measureRequests(
  sizes: readonly number[],
): Promise<Slope[]> {
  const routers: ProcessUsage[] = [];
  const sides: ProcessUsage[] = [];
  for (const perSecond of sizes) {
    await withFleet(createPlanWithSlots(), async (fleet) => {
      const [router] = fleet.routers as [Member];
      const [ofRouter, ofSide] = await Promise.all([
        measureUsage(fleet, router),
        measureUsage(fleet, sideProcessOf(fleet)),
        sendLoad(fleet, perSecond),
      ]);
      routers.push(ofRouter);
      sides.push(ofSide);
    });
  }
  const of = "request a second";
  return [
    ...createUsageSlopes("router", of, sizes, { usages: routers }),
    ...createUsageSlopes("side process", of, sizes, { usages: sides }),
  ];
}

function createPlanWithSlots(): Plan {
  const plan = createPlan();
  const services = plan.services.map((one) => ({ ...one, slots: SLOTS }));
  return { ...plan, services };
}

/** Sends streaming requests; throws if one was not answered. */
async function sendLoad(
  { plan, routers }: Fleet,
  perSecond: number,
): Promise<void> {
  const load: TeamLoad = {
    ...{ team: TEAM, key: keyOf(plan.teams, TEAM), weight: 1, type: "model" },
    service: plan.services[0]?.name ?? "",
    ratePerSecond: perSecond,
    kind: "summary",
    promptCharacters: [PROMPT_CHARACTERS, PROMPT_CHARACTERS],
    tokens: [TOKENS, TOKENS],
    hintError: 0,
  };
  const records = await runOpenLoop([load], {
    routerUrls: routers.map(({ url }) => url),
    routerWeights: [1],
    durationMs: SETTLE_MS + WINDOW_MS,
    seed: SEED,
    pricing: { type: "tokens", promptWeight: 0, weightByKind: {} },
    stream: true,
  });
  for (const { result } of records) {
    if (result.type === "answered") continue;
    throw new Error(`Request not answered: ${result.type} ${result.code}`);
  }
}
