/** Steps that check time limits on leaving and on refusals. */

import assert from "node:assert/strict";
import { type Execution, readRunLog } from "../../../stand_ins/run_log.ts";
import type { StepRegistry } from "../../support/step_registry.ts";
import type { World } from "../../support/world.ts";

/** Adds the step definitions. */
export function addTimingSteps(steps: StepRegistry<World>): void {
  steps.define(
    "side process {int} announces that it is leaving",
    (world, index: number) => {
      world.fleet.sideProcesses[index]?.child.signal("SIGTERM");
      world.stepValues.set("leaving at", Date.now());
    },
  );
  steps.define(
    "backend server {int} starts no request over {int} s after leaving began",
    async (world, index: number, seconds: number) => {
      await world.settle();
      const limit = (world.stepValues.get("leaving at") ?? 0) + seconds * 1_000;
      const late = runsOf(world, index).filter((run) => run.startedAt > limit);
      assert.equal(late.length, 0, `${late.length} runs started too late`);
    },
  );
  steps.define(
    "backend server {int} has run requests",
    (world, index: number) => {
      assert.ok(runsOf(world, index).length > 0);
    },
  );
  steps.define(
    "every refusal came within {int} ms and has a retry-after header",
    async (world, limitMs: number) => {
      await world.settle();
      const refused = world.results.filter(({ type }) => type === "refused");
      assert.ok(refused.length > 0, "Nothing was refused");
      for (const { startedMs, endedMs, retryAfter, code } of refused) {
        const tookMs = endedMs - startedMs;
        assert.ok(tookMs <= limitMs, `${code} took ${Math.round(tookMs)} ms`);
        assert.match(retryAfter, /^\d+$/);
      }
    },
  );
}

function runsOf(world: World, index: number): Execution[] {
  return readRunLog(world.fleet.backends[index]?.logFile ?? "");
}
