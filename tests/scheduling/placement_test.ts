/** Where requests go, by what is cached and by load. */

import assert from "node:assert/strict";
import { test } from "node:test";
import type { BackendServer } from "../../src/directory/mod.ts";
import type { Engine } from "../../src/routing/mod.ts";
import type {
  EngineReport,
  GateAccess,
} from "../../src/scheduling/gate_client.ts";
import { chooseServer } from "../../src/scheduling/placement.ts";
import { ReadingRate } from "../../src/scheduling/prefill_rate.ts";
import { ServerLoad } from "../../src/scheduling/server_load.ts";
import { createServer } from "../support/servers.ts";
import { createDemand, createPrompt } from "./demands.ts";

const ENGINE = { slots: 16, cacheTokens: 400_000, copiedTokensPerMs: 0 };
const SITE = { availabilityZone: "a", nowMs: 1_000, share: 1 };

interface LoadOptions {
  readonly engine?: Engine;
  readonly gate?: GateAccess | null;
}

/** A gate with some work before its engine. */
function createGate(change: Partial<EngineReport> = {}): GateAccess {
  const work = { runs: 4, unreadTokens: 8_000, privateTokens: 0 };
  const load = {
    asks: 0,
    askedTokens: 0,
    tokensPerMs: 40,
    failureShare: 0,
    routers: 1,
  };
  return {
    connected: true,
    report: { ...work, ...load, ...change },
    ask: () => () => {},
    serviceOf: () => 0,
  };
}

function createLoad(
  id: string,
  change: Partial<BackendServer> = {},
  { engine = ENGINE, gate = null }: LoadOptions = {},
) {
  const server = createServer({ id, service: "chat", slots: 2, ...change });
  const parts = { rate: new ReadingRate(40), gate };
  return new ServerLoad(server, engine, parts);
}

test("requests with the same head go to the same engine", () => {
  const loads = ["e1", "e2", "e3", "e4"].map((id) => createLoad(id));
  const places = ["x", "y", "z"].map((own) => {
    const prompt = createPrompt("head", own);
    return chooseServer(createDemand({ prompt }), loads, SITE)?.load.id;
  });
  assert.equal(new Set(places).size, 1);
});

test("heads are spread over the engines", () => {
  const loads = ["e1", "e2", "e3", "e4"].map((id) => createLoad(id));
  const places = new Set(
    Array.from({ length: 60 }, (_, index) => {
      const prompt = createPrompt(`head-${index}`, "own");
      return chooseServer(createDemand({ prompt }), loads, SITE)?.load.id;
    }),
  );
  assert.equal(places.size, 4);
});

test("an engine without room passes a request on to the second owner", () => {
  const loads = ["e1", "e2", "e3"].map((id) => createLoad(id));
  const demand = createDemand({ prompt: createPrompt("head", "own") });
  const owner = chooseServer(demand, loads, SITE)?.load;
  assert.ok(owner);
  const long = { parts: [], model: "m", inputTokens: 0, outputTokens: 0 };
  owner.begin(long, { uncachedTokens: 30_000, nowMs: 0 });
  const second = chooseServer(demand, loads, SITE)?.load;
  assert.ok(second);
  assert.notEqual(second.id, owner.id);
});

test("an owner can copy from the other one when links are fast", () => {
  const sourceAt = (copiedTokensPerMs: number) => {
    const engine = { ...ENGINE, copiedTokensPerMs };
    const loads = ["e1", "e2", "e3"].map((id) =>
      createLoad(id, {}, { engine }),
    );
    const demand = createDemand({ prompt: createPrompt("head", "own") });
    const first = chooseServer(demand, loads, SITE);
    assert.ok(first);
    const long = { parts: [], model: "m", inputTokens: 0, outputTokens: 0 };
    first.load.begin(long, { uncachedTokens: 30_000, nowMs: 0 });
    const second = chooseServer(demand, loads, SITE);
    return { first: first.load.id, source: second?.source?.id ?? null };
  };
  const fast = sourceAt(2_500);
  assert.equal(fast.source, fast.first);
  // Reading takes 1 ms for 40 tokens; copying is not much faster.
  assert.equal(sourceAt(80).source, null);
  assert.equal(sourceAt(0).source, null);
});

test("an engine that has become slow is left for the second owner", () => {
  const demand = createDemand({ prompt: createPrompt("head", "own") });
  const even = ["e1", "e2"].map((id) =>
    createLoad(id, {}, { gate: createGate() }),
  );
  const owner = chooseServer(demand, even, SITE)?.load.id;
  const slowed = ["e1", "e2"].map((id) => {
    const tokensPerMs = id === owner ? 4 : 40;
    return createLoad(id, {}, { gate: createGate({ tokensPerMs }) });
  });
  assert.notEqual(chooseServer(demand, slowed, SITE)?.load.id, owner);
});

test("servers that drain, rest or were tried get nothing", () => {
  const draining = createLoad("d", { state: "draining" });
  const resting = createLoad("r");
  resting.health.noteUnreachable(SITE.nowMs);
  const tried = createLoad("t");
  const demand = createDemand({ excluded: new Set(["t"]) });
  assert.equal(chooseServer(demand, [draining, resting, tried], SITE), null);
});

test("a plain server takes no more than its slots", () => {
  const load = createLoad("p");
  for (let run = 0; run < 2; run += 1) {
    assert.ok(chooseServer(createDemand(), [load], SITE));
    load.begin(null, { uncachedTokens: 0, nowMs: 0 });
  }
  assert.equal(chooseServer(createDemand(), [load], SITE), null);
});

test("a plain server that fails its requests is avoided", () => {
  const good = createLoad("good", { availabilityZone: "b" });
  const grey = createLoad("grey");
  for (let i = 0; i < 5; i += 1) grey.health.noteOutcome("failed", SITE.nowMs);
  assert.equal(
    chooseServer(createDemand(), [grey, good], SITE)?.load.id,
    "good",
  );
});

test("an engine that fails at other routers loses its heads", () => {
  const ids = ["e1", "e2", "e3", "e4"];
  const demand = createDemand({ prompt: createPrompt("head", "own") });
  const place = (failing: ReadonlySet<string>) => {
    const loads = ids.map((id) => {
      const failureShare = failing.has(id) ? 0.9 : 0;
      return createLoad(id, {}, { gate: createGate({ failureShare }) });
    });
    return chooseServer(demand, loads, SITE)?.load.id ?? "";
  };
  const owner = place(new Set());
  const second = place(new Set([owner]));
  assert.notEqual(second, owner);
  const third = place(new Set([owner, second]));
  assert.ok(![owner, second].includes(third), "both owners fail");
  // When most fail the fault is hardly theirs: heads stay where they are.
  assert.equal(place(new Set(ids)), owner);
});

test("a server that got no requests is tried again", () => {
  const grey = createLoad("grey");
  for (let i = 0; i < 50; i += 1) grey.health.noteOutcome("failed", 1_000);
  assert.ok(grey.failureShare(1_000) > 0.9);
  assert.ok(grey.failureShare(20_000) < 0.1);
});

test("a server that is alone is used however often it failed", () => {
  const grey = createLoad("grey");
  for (let i = 0; i < 50; i += 1) grey.health.noteOutcome("failed", SITE.nowMs);
  assert.equal(chooseServer(createDemand(), [grey], SITE)?.load.id, "grey");
});
