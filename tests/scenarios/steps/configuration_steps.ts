/** Steps in which operators change the configuration. */

import assert from "node:assert/strict";
import type { Document } from "../../../src/configuration/mod.ts";
import type { Member } from "../../../tools/fleet/fleet.ts";
import { until } from "../../../tools/fleet/until.ts";
import type { StepRegistry } from "../../support/step_registry.ts";
import type { World } from "../../support/world.ts";

/** Adds the step definitions. */
export function addConfigurationSteps(steps: StepRegistry<World>): void {
  steps.define("an operator applies a change", async (world) => {
    world.stepValues.set("version", await applyChange(world, "a change"));
  });
  steps.define("two operators apply changes at once", async (world) => {
    const applied = await Promise.all(
      ["first", "second"].map((name) =>
        world.fleet.apply(createChangedDocument(world, name), 1),
      ),
    );
    const errors = applied.flatMap((one) => (one.isErr() ? [one.error] : []));
    assert.deepEqual(errors, [{ type: "conflict", current: 2 }]);
    world.stepValues.set("version", 2);
  });
  steps.define(
    "every process has that version within {int} s",
    async (world, seconds: number) => {
      await waitForVersion(world, members(world), seconds * 1_000);
    },
  );
  steps.define(
    "router {int} has that version within {int} s",
    async (world, index: number, seconds: number) => {
      const router = world.fleet.routers[index];
      await waitForVersion(
        world,
        router === undefined ? [] : [router],
        seconds * 1_000,
      );
    },
  );
  steps.define("no process is behind that version", async (world) => {
    const behind = await findProcessesBehind(world, members(world));
    assert.deepEqual(behind, []);
  });
}

function members(world: World): Member[] {
  return [...world.fleet.routers, ...world.fleet.sideProcesses];
}

async function applyChange(world: World, name: string): Promise<number> {
  return await world.fleet.configure(createChangedDocument(world, name));
}

/** Returns the plan's document with one more rule. */
function createChangedDocument(world: World, name: string): Document {
  const { document } = world.fleet.plan;
  const rule: Document["rules"][number] = {
    name,
    when: { kind: [`kind-${name}`] },
    then: { type: "refuse", status: 403, reason: "Not at this hour" },
  };
  return { ...document, rules: [...document.rules, rule] };
}

async function waitForVersion(
  world: World,
  wanted: readonly Member[],
  timeoutMs: number,
): Promise<void> {
  await until("the version is in force", timeoutMs, {
    holds: async () => (await findProcessesBehind(world, wanted)).length === 0,
  });
}

/**
 * Returns the running processes that have an older version or no answer; a
 * process that was killed doesn't count.
 */
async function findProcessesBehind(
  world: World,
  wanted: readonly Member[],
): Promise<string[]> {
  const version = world.stepValues.get("version") ?? 0;
  const running = wanted.filter(({ child }) => child.running);
  const states = await Promise.all(
    running.map(async (member) => {
      const status = await world.fleet.status(member);
      return { member, version: Number(status?.configurationVersion ?? 0) };
    }),
  );
  return states
    .filter((state) => state.version < version)
    .map(({ member }) => member.instance.name);
}
