/** Loads of the two deployments, at their present sizes. */

import { deskDeployment, shopDeployment } from "../tools/fleet/deployments.ts";
import { keyOf } from "../tools/fleet/fleet.ts";
import type { Plan } from "../tools/fleet/plan.ts";
import type { Pricing, TeamLoad } from "../tools/load/workload.ts";

/** Half of the deployments' 8, so that one machine can carry the load. */
const SLOTS_PER_ENGINE = 4;
/** Mean of the range that `createLoads` sets. */
const MEAN_OUTPUT_TOKENS = 70;
/** Number of teams, from the first, that are backlogged under "flood". */
const BACKLOGGED_TEAMS = 8;
/** Demand of a backlogged team, relative to its fair share. */
const BACKLOGGED_DEMAND_FACTOR = 1.6;
/** Demand of the teams between the backlogged ones and the last. */
const LIGHT_DEMAND_FACTOR = 0.4;
/** Demand of every team under "steady"; slots are mostly free. */
const STEADY_DEMAND_FACTOR = 0.7;
/** Demand of the last team under "flood", relative to its fair share. */
const FLOOD_DEMAND_FACTOR = 20;
/** Under "flood" every fourth backlogged team sends this long, then pauses. */
const ON_OFF_PHASE_MS = 1_500;

/** A deployment and the load that it gets. */
export interface Workload {
  readonly name: string;
  readonly plan: Plan;
  readonly loads: readonly TeamLoad[];
  readonly pricing: Pricing;
  /** Relative share of the requests that each router gets. */
  readonly routerWeights: readonly number[];
  /** Whether callers ask for streams, or for whole answers. */
  readonly stream: boolean;
}

/** Names of the deployments. */
export type DeploymentName = "desk" | "shop";

/**
 * How much the teams ask for. "flood": teams contend, and the last one asks for
 * a multiple of its share. "steady": every team asks for less than its share,
 * so that slots are mostly free.
 */
export type LoadName = "flood" | "steady";

/**
 * Returns a deployment with its load, on its model service only. `delayMs` is
 * the one-way delay of messages to side processes; 0 adds none.
 */
export function createWorkload(
  name: DeploymentName,
  loadName: LoadName,
  { delayMs }: { readonly delayMs: number },
): Workload {
  const base = name === "desk" ? deskDeployment() : shopDeployment();
  const [model] = base.services;
  if (model === undefined) throw new Error("Deployment has no model service");
  const plan: Plan = {
    ...base,
    services: [{ ...model, slots: SLOTS_PER_ENGINE }],
    document: {
      ...base.document,
      services: base.document.services.filter((one) => one.name === model.name),
      targets: [],
    },
    proxies: delayMs > 0 ? ["side-process"] : [],
    delayMs,
    logLevel: "warn",
  };
  const tokensPerSecond =
    model.replicas * SLOTS_PER_ENGINE * (1_000 / model.stepMs);
  const requestsPerSecond = tokensPerSecond / MEAN_OUTPUT_TOKENS;
  return {
    name: `${name} ${loadName}`,
    plan,
    loads: createLoads(plan, loadName, requestsPerSecond),
    pricing: createPricing(plan),
    routerWeights: [6, 2, 1],
    stream: name === "desk",
  };
}

/** Returns the meter of the first contract as pricing of the load. */
function createPricing({ document }: Plan): Pricing {
  const meter = document.contracts[0]?.meter;
  if (meter?.type === "completed") {
    const { weightByKind } = meter;
    return { type: "completed", promptWeight: 0, weightByKind };
  }
  const promptWeight = meter?.promptWeight ?? 0;
  return { type: "tokens", promptWeight, weightByKind: {} };
}

function createLoads(
  plan: Plan,
  loadName: LoadName,
  requestsPerSecond: number,
): TeamLoad[] {
  const service = plan.services[0]?.name ?? "";
  const weights = plan.document.teams.map(
    ({ contract }) =>
      plan.document.contracts.find(({ name }) => name === contract)?.weight ??
      1,
  );
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  return plan.document.teams.map(({ name }, index): TeamLoad => {
    const weight = weights[index] ?? 1;
    const share = (requestsPerSecond * weight) / total;
    const last = index === weights.length - 1;
    const backlogged = index < BACKLOGGED_TEAMS;
    const contended = last
      ? FLOOD_DEMAND_FACTOR
      : backlogged
        ? BACKLOGGED_DEMAND_FACTOR
        : LIGHT_DEMAND_FACTOR;
    const factor = loadName === "steady" ? STEADY_DEMAND_FACTOR : contended;
    return {
      team: name,
      key: keyOf(plan.teams, name),
      ...{ weight, service, type: "model" },
      ratePerSecond: share * factor,
      kind: ["summary", "draft", "exchange"][index % 3] ?? "summary",
      promptCharacters: [100, 2_000],
      tokens: [20, 120],
      hintError: 4,
      onOffMs:
        loadName === "flood" && backlogged && index % 4 === 3
          ? ON_OFF_PHASE_MS
          : 0,
    };
  });
}
