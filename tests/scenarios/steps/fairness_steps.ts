/** Steps that check the teams' shares of service and their waiting times. */

import assert from "node:assert/strict";
import { fairnessGap } from "../../../tools/load/fairness_gap.ts";
import {
  type LoadOptions,
  type Pricing,
  runClosedLoop,
  runOpenLoop,
  type TeamLoad,
} from "../../../tools/load/workload.ts";
import { gapBound } from "../../support/gap_bound.ts";
import type { StepRegistry } from "../../support/step_registry.ts";
import type { World } from "../../support/world.ts";

const TOKENS = [20, 60] as const;
const MEAN_TOKENS = 40;
const PROMPT_CHARACTERS = [40, 200] as const;
/** Six teams that keep requests waiting and one that floods. */
const TEAMS_IN_CONTENTION = 7;

/** Adds the step definitions. */
export function addFairnessSteps(steps: StepRegistry<World>): void {
  steps.define(
    "team {int} floods router {int} with {int} times its share for {int} s",
    (world, team: number, router: number, times: number, seconds: number) => {
      const load = createLoad(world, team - 1, times);
      const options = loadOptions(world, router, seconds);
      world.addLoad("flood", runOpenLoop([load], options));
    },
  );
  steps.define(
    "{int} teams keep {int} requests waiting through router {int} for {int} s",
    (
      world,
      teams: number,
      concurrency: number,
      router: number,
      seconds: number,
    ) => {
      const loads = Array.from({ length: teams }, (_, index) =>
        // Skips the three large teams: those after them have equal weight.
        createLoad(world, index + 3, 1),
      );
      const options = loadOptions(world, router, seconds);
      world.addLoad("others", runClosedLoop(loads, options, { concurrency }));
    },
  );
  steps.define(
    "every request of those teams started within {int} s",
    async (world, seconds: number) => {
      const records = await world.loadOf("others");
      assert.ok(records.length > 0);
      for (const { result } of records) {
        // A stream that a fault broke off counts as started.
        const { type, code, firstTokenMs, startedMs } = result;
        assert.notEqual(firstTokenMs, null, `${type} ${code}`);
        const waitedMs = (firstTokenMs ?? 0) - startedMs;
        assert.ok(
          waitedMs <= seconds * 1_000,
          `A request waited ${waitedMs} ms`,
        );
      }
    },
  );
  steps.define(
    "the gap between any two teams that waited is under its bound",
    async (world) => {
      const records = [
        ...(await world.loadOf("others")),
        ...(await world.loadOf("flood")),
      ];
      const largest = Math.max(
        ...records.map(({ cost, load }) => cost / load.weight),
      );
      const { amount, teams } = fairnessGap(records);
      const bound = gapBound(world.fleet.plan, largest);
      const found = `${Math.round(amount)} between ${teams.join(" and ")}`;
      assert.ok(amount <= bound, `Gap is ${found}, bound ${Math.round(bound)}`);
    },
  );
}

/** Returns a load of `factor` times an equal share of all slots. */
function createLoad(world: World, index: number, factor: number): TeamLoad {
  const { plan } = world.fleet;
  const [service] = plan.services;
  const { name = "", key = "" } = plan.teams[index] ?? {};
  if (service === undefined) throw new Error("The plan has no service");
  const tokens = (1_000 / service.stepMs) * service.slots * service.replicas;
  const share = tokens / MEAN_TOKENS / TEAMS_IN_CONTENTION;
  return {
    ...{ team: name, key, weight: 1, service: service.name, type: "model" },
    ratePerSecond: share * factor,
    kind: "summary",
    promptCharacters: PROMPT_CHARACTERS,
    tokens: TOKENS,
    hintError: 4,
  };
}

function loadOptions(
  world: World,
  router: number,
  seconds: number,
): LoadOptions {
  const meter = world.fleet.plan.document.contracts[0]?.meter;
  return {
    routerUrls: [world.fleet.routers[router]?.url ?? ""],
    routerWeights: [1],
    durationMs: seconds * 1_000,
    seed: world.seed,
    pricing: pricingOf(meter?.type ?? "tokens"),
    stream: meter?.type === "tokens",
  };
}

function pricingOf(type: Pricing["type"]): Pricing {
  return { type, promptWeight: 0.25, weightByKind: {} };
}
