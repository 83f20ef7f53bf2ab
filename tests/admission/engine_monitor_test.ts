/** What local questions to an engine show of its coldness. */

import assert from "node:assert/strict";
import { test } from "node:test";
import {
  ColdGuard,
  EngineMonitor,
  type EngineObservation,
} from "../../src/admission/mod.ts";
import { createManualClock } from "../support/manual_clock.ts";

const DURATION_MS = 3_000;

function createMonitor() {
  const clock = createManualClock();
  const guard = new ColdGuard(clock, { overshoot: 1.5, slack: 5 });
  guard.configure({
    ...{ durationMs: DURATION_MS, requestsPerS: 9 },
    ...{ remainingMs: 0, routers: 3 },
  });
  clock.advance(2_000);
  let observation: EngineObservation = answer(7);
  const monitor = new EngineMonitor(guard, {
    ...{ clock, probe: async () => observation },
  });
  const see = async (next: EngineObservation) => {
    observation = next;
    await monitor.ask();
  };
  return { clock, guard, see };
}

function answer(startedAtMs: number | null, coldForMs = 0): EngineObservation {
  return { type: "answered", startedAtMs, coldForMs };
}

test("an engine is cold from its new start on", async () => {
  const { guard, see } = createMonitor();
  await see(answer(7));
  await see(answer(null));
  await see(answer(7));
  assert.equal(guard.remainingMs, 0);
  await see(answer(8));
  assert.equal(guard.remainingMs, DURATION_MS);
  assert.equal(guard.takeChange()?.source, "engine-started");
  assert.equal(guard.takeChange(), null);
});

test("an engine that refused connections is cold once it answers", async () => {
  const { clock, guard, see } = createMonitor();
  await see({ type: "refused" });
  clock.advance(5_000);
  await see({ type: "refused" });
  clock.advance(200);
  await see(answer(null));
  assert.equal(guard.remainingMs, DURATION_MS - 200);
});

test("one unanswered question isn't enough, two are", async () => {
  const { guard, see } = createMonitor();
  await see({ type: "silent" });
  await see(answer(7));
  await see({ type: "silent" });
  assert.equal(guard.remainingMs, 0);
  await see({ type: "silent" });
  assert.equal(guard.remainingMs, DURATION_MS);
});

test("an engine that says that it is cold is cold for as long as it says", async () => {
  const { clock, guard, see } = createMonitor();
  await see(answer(7, 1_500));
  assert.equal(guard.remainingMs, 1_500);
  // It turns cold again, and its later word counts.
  clock.advance(1_000);
  await see(answer(7, 2_000));
  assert.equal(guard.remainingMs, 2_000);
});
