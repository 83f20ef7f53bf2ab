/** Steps that hold callers' records against the backend servers' run logs. */

import assert from "node:assert/strict";
import { sleep } from "../../../src/common/signal.ts";
import type { CallResult } from "../../../tools/load/caller.ts";
import type { CallRecord } from "../../support/call_record.ts";
import type { StepRegistry } from "../../support/step_registry.ts";
import type { World } from "../../support/world.ts";

/** How long a request refused as not run may still turn up. */
const LATE_RUN_MS = 2_000;

/** Adds the steps. */
export function addOutcomeSteps(steps: StepRegistry<World>): void {
  steps.define("every caller has its own whole answer", async (world) => {
    await world.settle();
    const others = world.results.filter(({ type }) => type !== "answered");
    assert.deepEqual(others.map(brief), []);
    assert.ok(world.results.length > 0, "No call was made");
  });
  steps.define(
    "every caller has its own whole answer or a truthful failure",
    async (world) => {
      await world.settle();
      const untold = world.results.filter((result) => !isTruthful(result));
      assert.deepEqual(untold.map(brief), []);
      assertRefusalsTrue(world);
    },
  );
  steps.define("no caller has a wrong answer", async (world) => {
    await world.settle();
    const wrong = world.results.filter(({ type }) => type === "wrong");
    assert.deepEqual(wrong.map(brief), []);
  });
  steps.define(
    "at least {int} callers have an answer",
    (world, count: number) => {
      const answered = world.results.filter(({ type }) => type === "answered");
      assert.ok(answered.length >= count, `Only ${answered.length} have one`);
    },
  );
  steps.define("no request refused as not-run ever runs", async (world) => {
    await world.settle();
    await sleep(LATE_RUN_MS);
    assertRefusalsTrue(world);
  });
  steps.define("no non-idempotent request runs twice", async (world) => {
    await world.settle();
    const runs = countBy(world.executions().map(({ bodyHash }) => bodyHash));
    const twice = world.calls
      .filter(({ idempotent }) => !idempotent)
      .filter(({ bodyHash }) => (runs.get(bodyHash) ?? 0) > 1);
    assert.equal(twice.length, 0, `${twice.length} requests ran twice`);
  });
  steps.define("every answered request has run", async (world) => {
    await world.settle();
    const ran = new Set(world.executions().map(({ bodyHash }) => bodyHash));
    const missing = world.calls.filter(
      ({ result, bodyHash }) =>
        result?.type === "answered" && !ran.has(bodyHash),
    );
    assert.equal(missing.length, 0);
  });
}

/** After its head, HTTP leaves only a cut to say that a body isn't whole. */
export function isTruthful({
  type,
  outcome,
  begun,
  body,
}: CallResult): boolean {
  if (type === "answered") return true;
  if (type === "wrong") return false;
  return outcome !== "" || (begun && !body.startsWith("data:"));
}

/** Holds "not-run" against the run logs. */
export function assertRefusalsTrue(world: World): void {
  const ran = new Set(world.executions().map(({ bodyHash }) => bodyHash));
  const keys = world.calls.filter(
    ({ result }) => result?.outcome === "not-run",
  );
  const untrue = keys.filter(({ bodyHash }) => ran.has(bodyHash));
  const repeated = untrue.filter((call) => !hasTwin(world, call));
  assert.equal(repeated.length, 0, `${repeated.length} refused requests ran`);
}

/** A repeat with the same body may have run where this call did not. */
function hasTwin(world: World, call: CallRecord): boolean {
  return world.calls.some(
    (other) => other !== call && other.bodyHash === call.bodyHash,
  );
}

function countBy(values: readonly string[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const value of values) counts.set(value, (counts.get(value) ?? 0) + 1);
  return counts;
}

function brief(result: {
  type: string;
  status: number;
  outcome: string;
  code: string;
}): string {
  const { type, status, outcome, code } = result;
  return `${type} ${status} ${outcome} ${code}`;
}
