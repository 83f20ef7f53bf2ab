/** What requests cost a router and a side process, by their rate. */

import { type Fleet, keyOf, type Member } from "../tools/fleet/fleet.ts";
import type { Plan } from "../tools/fleet/plan.ts";
import { run, type TeamLoad } from "../tools/load/workload.ts";
import { type Slope, slopesOf } from "./slope.ts";
import {
  createPlan,
  SETTLE_MS,
  sideOf,
  type Usage,
  usageOf,
  WINDOW_MS,
  withFleet,
} from "./slope_fleet.ts";

const TEAM = "desk-01";
const TOKENS = 20;
const PROMPT_CHARACTERS = 20;
/** Enough for no request to wait: waiting has slopes of its own. */
const SLOTS = 64;
const SEED = 1;

/** One router and one side process that serve streams at several rates. */
export async function requests(sizes: readonly number[]): Promise<Slope[]> {
  const routers: Usage[] = [];
  const sides: Usage[] = [];
  for (const perSecond of sizes) {
    await withFleet(withSlots(), async (fleet) => {
      const [router] = fleet.routers as [Member];
      const [ofRouter, ofSide] = await Promise.all([
        usageOf(fleet, router),
        usageOf(fleet, sideOf(fleet)),
        send(fleet, perSecond),
      ]);
      routers.push(ofRouter);
      sides.push(ofSide);
    });
  }
  const of = "request a second";
  return [
    ...slopesOf("router", of, sizes, { usages: routers }),
    ...slopesOf("side process", of, sizes, { usages: sides }),
  ];
}

function withSlots(): Plan {
  const plan = createPlan();
  const services = plan.services.map((one) => ({ ...one, slots: SLOTS }));
  return { ...plan, services };
}

/** Sends streams at a rate; rejects if one had no answer. */
async function send(
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
  const records = await run([load], {
    routerUrls: routers.map(({ url }) => url),
    routerWeights: [1],
    durationMs: SETTLE_MS + WINDOW_MS,
    seed: SEED,
    pricing: { type: "tokens", promptWeight: 0, weightByKind: {} },
    stream: true,
  });
  for (const { result } of records) {
    if (result.type === "answered") continue;
    throw new Error(`A call ended as ${result.type} ${result.code}`);
  }
}
