/** Loads of the two deployments, at the sizes of today. */

import { deskDeployment, shopDeployment } from "../tools/fleet/deployments.ts";
import { keyOf } from "../tools/fleet/fleet.ts";
import type { Plan } from "../tools/fleet/plan.ts";
import type { Pricing, TeamLoad } from "../tools/load/workload.ts";

/** Slots per engine; half of the plan's, so that one machine carries it. */
const SLOTS = 4;
const MEAN_TOKENS = 70;
const BACKLOGGED_TEAMS = 8;
/** Demand of a backlogged team, relative to its fair share. */
const BACKLOGGED = 1.6;
const TRICKLE = 0.4;
/** Every team below its share: slots are mostly free. */
const STEADY = 0.7;
/** The flood, relative to the flooding team's fair share. */
const FLOOD = 20;
const ON_OFF_MS = 1_500;

/** One deployment under load. */
export interface Workload {
  readonly name: string;
  readonly plan: Plan;
  readonly loads: readonly TeamLoad[];
  readonly pricing: Pricing;
  /** Share of requests that each router gets. */
  readonly routerWeights: readonly number[];
  readonly stream: boolean;
}

/** Which deployment. */
export type DeploymentName = "desk" | "shop";

/** How much the teams ask for. */
export type LoadName = "flood" | "steady";

/** Returns a deployment under a load, links with a delay before its servers. */
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
    services: [{ ...model, slots: SLOTS }],
    document: {
      ...base.document,
      services: base.document.services.filter((one) => one.name === model.name),
      targets: [],
    },
    links: delayMs > 0 ? ["side-process"] : [],
    delayMs,
    logLevel: "warn",
  };
  const capacity = model.replicas * SLOTS * (1_000 / model.stepMs);
  const requests = capacity / MEAN_TOKENS;
  return {
    name: `${name} ${loadName}`,
    plan,
    loads: createLoads(plan, loadName, requests),
    pricing: pricingOf(plan),
    routerWeights: [6, 2, 1],
    stream: name === "desk",
  };
}

function pricingOf({ document }: Plan): Pricing {
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
    const contended = last ? FLOOD : backlogged ? BACKLOGGED : TRICKLE;
    const factor = loadName === "steady" ? STEADY : contended;
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
        loadName === "flood" && backlogged && index % 4 === 3 ? ON_OFF_MS : 0,
    };
  });
}
