/** Expected waits while every server of a service names a limit. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { limitDelayMs } from "../../src/scheduling/limit_delay.ts";
import { PrefillRate } from "../../src/scheduling/prefill_rate.ts";
import { ServerLoad } from "../../src/scheduling/server_load.ts";
import { createManualClock } from "../support/manual_clock.ts";
import { createServer } from "../support/servers.ts";
import { createDemand } from "./demands.ts";

function createLoad(id: string, requestsPerS: number | null): ServerLoad {
  const clock = createManualClock();
  const rate = new PrefillRate(40);
  const deps = { clock, rate, admission: null };
  const load = new ServerLoad(createServer({ id }), null, deps);
  load.requestLimit.observe({ requestsPerS, sentAtMs: clock.monotonicMs() });
  load.requestLimit.spend(1);
  return load;
}

function waitingOf(team: string, count: number) {
  return Array.from({ length: count }, () => createDemand({ team }));
}

test("nobody waits for limits while one server names none", () => {
  const loads = [createLoad("s1", 1), createLoad("s2", null)];
  const context = { loads, share: 1, waiting: waitingOf("a", 9), queued: 9 };
  assert.equal(limitDelayMs(createDemand(), context), 0);
});

test("a request waits for those before it at the rate of all limits", () => {
  const loads = [createLoad("s1", 1), createLoad("s2", 4)];
  const waiting = waitingOf("a", 9);
  const context = { loads, share: 1, waiting, queued: 9 };
  const demand = createDemand({ team: "a" });
  assert.equal(limitDelayMs(demand, context), 2_000);
  // Four routers share the limits.
  const shared = { ...context, share: 0.25 };
  assert.equal(limitDelayMs(demand, shared), 8_000);
});

test("a team doesn't wait for all requests of a team that floods", () => {
  const loads = [createLoad("s1", 5)];
  const waiting = waitingOf("a", 19);
  const context = { loads, share: 1, waiting, queued: 19 };
  assert.equal(limitDelayMs(createDemand({ team: "a" }), context), 4_000);
  assert.equal(limitDelayMs(createDemand({ team: "b" }), context), 400);
});
