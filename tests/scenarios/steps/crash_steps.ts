/** Steps with requests that crash backend servers. */

import assert from "node:assert/strict";
import { sleep } from "../../../src/common/promises.ts";
import type { StepRegistry } from "../../support/step_registry.ts";
import type { World } from "../../support/world.ts";
import { isTruthful } from "./outcome_steps.ts";

const CRASHING_TEXT = "CRASH-ENGINE please";
/** Start of the innocent requests' texts, which are equal in every round. */
const INNOCENT_TEXT = "Innocent request";
const WATCH_INTERVAL_MS = 50;
/** Pause before a caller repeats a crashing request. */
const REPEAT_INTERVAL_MS = 300;
const MAX_REFUSAL_MS = 1_000;

/** Adds the step definitions. */
export function addCrashSteps(steps: StepRegistry<World>): void {
  steps.define("crashed backend servers are restarted", (world) => {
    world.stepValues.set("crashes", 0);
    const timer = setInterval(
      () => void restartCrashed(world),
      WATCH_INTERVAL_MS,
    );
    world.onClose(() => clearInterval(timer));
  });
  steps.define(
    "a caller sends a crashing request {int} times through alternating routers",
    async (world, times: number) => {
      for (let index = 0; index < times; index += 1) {
        const router = index % world.fleet.routers.length;
        await world.call({ text: CRASHING_TEXT, tokens: 20, router }).ended;
        await sleep(REPEAT_INTERVAL_MS);
      }
    },
  );
  steps.define("a caller sends a new crashing request", async (world) => {
    const text = `${CRASHING_TEXT}, ${world.calls.length}`;
    await world.call({ text, tokens: 20 }).ended;
  });
  steps.define(
    "{int} innocent callers ask for whole answers of {int} tokens",
    (world, count: number, tokens: number) => {
      for (let index = 0; index < count; index += 1) {
        const text = `${INNOCENT_TEXT} ${index}`;
        world.call({ text, tokens, stream: false });
      }
    },
  );
  steps.define("every innocent caller has its whole answer", async (world) => {
    await world.settle();
    const innocent = world.calls.filter(({ text }) =>
      text.startsWith(INNOCENT_TEXT),
    );
    assert.ok(innocent.length > 0, "There was no innocent caller");
    const codes = innocent.map(({ result }) => `${result?.type}`);
    assert.deepEqual(new Set(codes), new Set(["answered"]));
  });
  steps.define(
    "at least {int} backend servers have crashed",
    (world, least: number) => {
      const crashes = world.stepValues.get("crashes") ?? 0;
      assert.ok(crashes >= least, `Only ${crashes} have crashed`);
    },
  );
  steps.define(
    "at most {int} backend servers have crashed",
    (world, limit: number) => {
      const crashes = world.stepValues.get("crashes") ?? 0;
      assert.ok(crashes > 0, "No backend server has crashed");
      assert.ok(crashes <= limit, `${crashes} backend servers have crashed`);
    },
  );
  steps.define(
    "the last crashing request was refused at once as quarantined",
    (world) => {
      const last = world.calls.findLast(({ text }) => text === CRASHING_TEXT);
      const { code, outcome, startedMs = 0, endedMs = 0 } = last?.result ?? {};
      assert.equal(code, "quarantined");
      assert.equal(outcome, "not-run");
      assert.ok(endedMs - startedMs <= MAX_REFUSAL_MS);
      assert.match(last?.result?.retryAfter ?? "", /^\d+$/);
    },
  );
  steps.define(
    "every other caller has its own whole answer or a truthful failure",
    async (world) => {
      await world.settle();
      const untruthful = world.calls
        .filter(({ text }) => text !== CRASHING_TEXT)
        .filter(({ result }) => result !== null && !isTruthful(result));
      assert.equal(untruthful.length, 0);
    },
  );
}

async function restartCrashed(world: World): Promise<void> {
  for (const backend of world.fleet.backends) {
    if (backend.child.running) continue;
    const crashes = world.stepValues.get("crashes") ?? 0;
    world.stepValues.set("crashes", crashes + 1);
    await backend.restart();
  }
}
