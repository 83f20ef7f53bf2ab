/** Expected waits while every server of a service names a limit. */

import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type LimitDelayContext,
  limitDelayMs,
} from "../../src/scheduling/limit_delay.ts";
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

interface ContextOptions {
  readonly loads: readonly ServerLoad[];
  /** Usage of the teams that wait. */
  readonly usage?: Readonly<Record<string, number>>;
  readonly queued: number;
  readonly share?: number;
}

function createContext({
  loads,
  usage = { a: 100 },
  queued,
  share = 1,
}: ContextOptions): LimitDelayContext {
  return {
    ...{ loads, share, queued },
    waitingTeams: () => new Set(Object.keys(usage)),
    usageOf: (team) => usage[team] ?? 0,
  };
}

test("nobody waits for limits while one server names none", () => {
  const loads = [createLoad("s1", 1), createLoad("s2", null)];
  const context = createContext({ loads, queued: 9 });
  assert.equal(limitDelayMs(createDemand({ team: "a" }), context), 0);
});

test("a request waits for those before it at the rate of all limits", () => {
  const loads = [createLoad("s1", 1), createLoad("s2", 4)];
  const demand = createDemand({ team: "a" });
  const alone = createContext({ loads, queued: 9 });
  assert.equal(limitDelayMs(demand, alone), 2_000);
  // Four routers share the limits.
  const shared = createContext({ loads, queued: 9, share: 0.25 });
  assert.equal(limitDelayMs(demand, shared), 8_000);
});

test("a team with little usage doesn't wait for a team that floods", () => {
  const loads = [createLoad("s1", 5)];
  const usage = { a: 1_000, b: 100 };
  const context = createContext({ loads, usage, queued: 19 });
  assert.equal(limitDelayMs(createDemand({ team: "a" }), context), 4_000);
  assert.equal(limitDelayMs(createDemand({ team: "b" }), context), 200);
  assert.equal(limitDelayMs(createDemand({ team: "new" }), context), 200);
});

test("teams with about the same usage wait alike", () => {
  const loads = [createLoad("s1", 5)];
  const usage = { a: 1_000, b: 900 };
  const context = createContext({ loads, usage, queued: 19 });
  for (const team of ["a", "b"])
    assert.equal(limitDelayMs(createDemand({ team }), context), 4_000);
});
