/** Steps that compare the callers' results with the servers' run logs. */

import assert from "node:assert/strict";
import { sleep } from "../../../src/common/promises.ts";
import type { CallResult } from "../../../tools/load/caller.ts";
import type { CallRecord } from "../../support/call_record.ts";
import type { StepRegistry } from "../../support/step_registry.ts";
import type { World } from "../../support/world.ts";

/** How long a request that was refused as not-run is watched for a late run. */
const LATE_RUN_MS = 2_000;

/** Adds the step definitions. */
export function addOutcomeSteps(steps: StepRegistry<World>): void {
  steps.define("every caller has its own whole answer", async (world) => {
    await world.settle();
    const others = world.results.filter(({ type }) => type !== "answered");
    assert.deepEqual(others.map(summarise), []);
    assert.ok(world.results.length > 0, "No call was made");
  });
  steps.define(
    "every caller has its own whole answer or a truthful failure",
    async (world) => {
      await world.settle();
      const untruthful = world.results.filter((result) => !isTruthful(result));
      assert.deepEqual(untruthful.map(summarise), []);
      assertNoNotRunRequestRan(world);
    },
  );
  steps.define("no caller has a wrong answer", async (world) => {
    await world.settle();
    const wrong = world.results.filter(({ type }) => type === "wrong");
    assert.deepEqual(wrong.map(summarise), []);
  });
  steps.define(
    "at least {int} callers have an answer",
    (world, count: number) => {
      const answered = world.results.filter(({ type }) => type === "answered");
      assert.ok(
        answered.length >= count,
        `Only ${answered.length} have an answer`,
      );
    },
  );
  steps.define("no request refused as not-run ever runs", async (world) => {
    await world.settle();
    await sleep(LATE_RUN_MS);
    assertNoNotRunRequestRan(world);
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

/**
 * Whether a result is a whole answer or a failure that doesn't mislead. After
 * the head of an answer that is not an event stream, HTTP can report a failure
 * only by closing the connection, so that counts as well.
 */
export function isTruthful({
  type,
  outcome,
  headReceived,
  body,
}: CallResult): boolean {
  if (type === "answered") return true;
  if (type === "wrong") return false;
  return outcome !== "" || (headReceived && !body.startsWith("data:"));
}

/** Asserts that no request that was refused as not-run is in a run log. */
export function assertNoNotRunRequestRan(world: World): void {
  const ran = new Set(world.executions().map(({ bodyHash }) => bodyHash));
  const notRun = world.calls.filter(
    ({ result }) => result?.outcome === "not-run",
  );
  const executed = notRun.filter(({ bodyHash }) => ran.has(bodyHash));
  const unexplained = executed.filter((call) => !hasRepeat(world, call));
  assert.equal(
    unexplained.length,
    0,
    `${unexplained.length} refused requests ran`,
  );
}

/** Whether another call had the same body, so the run may be that one's. */
function hasRepeat(world: World, call: CallRecord): boolean {
  return world.calls.some(
    (other) => other !== call && other.bodyHash === call.bodyHash,
  );
}

function countBy(values: readonly string[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const value of values) counts.set(value, (counts.get(value) ?? 0) + 1);
  return counts;
}

function summarise(result: {
  type: string;
  status: number;
  outcome: string;
  code: string;
}): string {
  const { type, status, outcome, code } = result;
  return `${type} ${status} ${outcome} ${code}`;
}
