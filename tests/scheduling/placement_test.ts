/** Choice of a server by cached prefixes, load and failures. */

import assert from "node:assert/strict";
import { test } from "node:test";
import type { BackendServer } from "../../src/directory/mod.ts";
import type { Engine } from "../../src/routing/mod.ts";
import type {
  EngineAdmission,
  EngineReport,
} from "../../src/scheduling/engine_admission.ts";
import { chooseServer } from "../../src/scheduling/placement.ts";
import { PrefillRate } from "../../src/scheduling/prefill_rate.ts";
import { ownersOf } from "../../src/scheduling/prefix_owners.ts";
import { ServerLoad } from "../../src/scheduling/server_load.ts";
import { createManualClock } from "../support/manual_clock.ts";
import { createServer } from "../support/servers.ts";
import { createDemand, createPrompt } from "./demands.ts";

const ENGINE = { slots: 16, cacheTokens: 400_000, copiedTokensPerMs: 0 };
const CONTEXT = { availabilityZone: "a", nowMs: 1_000, share: 1 };

interface LoadOptions {
  readonly engine?: Engine;
  readonly admission?: EngineAdmission | null;
}

/** Returns an admission controller that reports work at its engine. */
function createAdmission(change: Partial<EngineReport> = {}): EngineAdmission {
  const work = { runs: 4, unreadTokens: 8_000, privateTokens: 0 };
  const load = {
    asks: 0,
    askedTokens: 0,
    tokensPerMs: 40,
    failureShare: 0,
    requestsPerS: null,
    freeSlots: 0,
    cacheLifetimeMs: null,
    routers: 1,
  };
  return {
    connected: true,
    report: { ...work, ...load, ...change },
    requestPermit: () => () => {},
    usageOf: () => 0,
    noteRequestLimit: () => {},
  };
}

function createLoad(
  id: string,
  change: Partial<BackendServer> = {},
  { engine = ENGINE, admission = null }: LoadOptions = {},
) {
  const server = createServer({ id, service: "chat", slots: 2, ...change });
  const clock = createManualClock();
  const deps = { clock, rate: new PrefillRate(40), admission };
  return new ServerLoad(server, engine, deps);
}

test("requests with the same prefix go to the same engine", () => {
  const loads = ["e1", "e2", "e3", "e4"].map((id) => createLoad(id));
  const serverIds = ["x", "y", "z"].map((own) => {
    const prompt = createPrompt("head", own);
    return chooseServer(createDemand({ prompt }), loads, CONTEXT)?.load.id;
  });
  assert.equal(new Set(serverIds).size, 1);
});

test("prefixes are spread over the engines", () => {
  const loads = ["e1", "e2", "e3", "e4"].map((id) => createLoad(id));
  const serverIds = new Set(
    Array.from({ length: 60 }, (_, index) => {
      const prompt = createPrompt(`head-${index}`, "own");
      return chooseServer(createDemand({ prompt }), loads, CONTEXT)?.load.id;
    }),
  );
  assert.equal(serverIds.size, 4);
});

test("a request goes to the second owner when the first is full", () => {
  const loads = ["e1", "e2", "e3"].map((id) => createLoad(id));
  const demand = createDemand({ prompt: createPrompt("head", "own") });
  const owner = chooseServer(demand, loads, CONTEXT)?.load;
  assert.ok(owner);
  const emptyPrompt = {
    parts: [],
    model: "m",
    inputTokens: 0,
    outputTokens: 0,
  };
  owner.begin(emptyPrompt, { uncachedTokens: 30_000, nowMs: 0 });
  const second = chooseServer(demand, loads, CONTEXT)?.load;
  assert.ok(second);
  assert.notEqual(second.id, owner.id);
});

test("an owner copies a prefix from the other one only if that is fast", () => {
  const sourceAt = (copiedTokensPerMs: number) => {
    const engine = { ...ENGINE, copiedTokensPerMs };
    const loads = ["e1", "e2", "e3"].map((id) =>
      createLoad(id, {}, { engine }),
    );
    const demand = createDemand({ prompt: createPrompt("head", "own") });
    const first = chooseServer(demand, loads, CONTEXT);
    assert.ok(first);
    const emptyPrompt = {
      parts: [],
      model: "m",
      inputTokens: 0,
      outputTokens: 0,
    };
    first.load.begin(emptyPrompt, { uncachedTokens: 30_000, nowMs: 0 });
    const second = chooseServer(demand, loads, CONTEXT);
    return { first: first.load.id, source: second?.source?.id ?? null };
  };
  const fast = sourceAt(2_500);
  assert.equal(fast.source, fast.first);
  // Prefill takes 1 ms for 40 tokens, so 80 tokens/ms is too small a gain.
  assert.equal(sourceAt(80).source, null);
  assert.equal(sourceAt(0).source, null);
});

test("requests that owners have no room for under their limits go elsewhere", () => {
  const demand = createDemand({ prompt: createPrompt("head", "own") });
  const chosen = new Set<string>();
  const createAll = () =>
    ["e1", "e2", "e3", "e4"].map((id) => {
      const isFull = chosen.has(id);
      const report = { requestsPerS: isFull ? 2 : null, asks: isFull ? 1 : 0 };
      return createLoad(id, {}, { admission: createAdmission(report) });
    });
  for (let count = 1; count <= 4; count += 1) {
    const next = chooseServer(demand, createAll(), CONTEXT)?.load.id;
    assert.ok(next);
    chosen.add(next);
  }
  assert.equal(chosen.size, 4);
  // With all of them limited, the request waits for a permit.
  assert.ok(chooseServer(demand, createAll(), CONTEXT));
});

test("a request goes to the second owner when the first is slow", () => {
  const demand = createDemand({ prompt: createPrompt("head", "own") });
  const equallyFast = ["e1", "e2"].map((id) =>
    createLoad(id, {}, { admission: createAdmission() }),
  );
  const owner = chooseServer(demand, equallyFast, CONTEXT)?.load.id;
  const slowed = ["e1", "e2"].map((id) => {
    const tokensPerMs = id === owner ? 4 : 40;
    return createLoad(id, {}, { admission: createAdmission({ tokensPerMs }) });
  });
  assert.notEqual(chooseServer(demand, slowed, CONTEXT)?.load.id, owner);
});

test("draining, backed-off and tried servers get no requests", () => {
  const draining = createLoad("d", { state: "draining" });
  const backedOff = createLoad("r");
  backedOff.health.noteUnreachable(CONTEXT.nowMs);
  const tried = createLoad("t");
  const demand = createDemand({ excluded: new Set(["t"]) });
  assert.equal(
    chooseServer(demand, [draining, backedOff, tried], CONTEXT),
    null,
  );
});

test("a plain server gets no more requests than it has slots", () => {
  const load = createLoad("p");
  for (let run = 0; run < 2; run += 1) {
    assert.ok(chooseServer(createDemand(), [load], CONTEXT));
    load.begin(null, { uncachedTokens: 0, nowMs: 0 });
  }
  assert.equal(chooseServer(createDemand(), [load], CONTEXT), null);
});

test("a plain server that fails its requests is avoided", () => {
  const good = createLoad("good", { availabilityZone: "b" });
  const grey = createLoad("grey");
  for (let i = 0; i < 5; i += 1)
    grey.health.noteOutcome("failed", CONTEXT.nowMs);
  assert.equal(
    chooseServer(createDemand(), [grey, good], CONTEXT)?.load.id,
    "good",
  );
});

test("prefixes move away from engines that fail at other routers", () => {
  const ids = ["e1", "e2", "e3", "e4"];
  const demand = createDemand({ prompt: createPrompt("head", "own") });
  const place = (failing: ReadonlySet<string>) => {
    const loads = ids.map((id) => {
      const failureShare = failing.has(id) ? 0.9 : 0;
      return createLoad(
        id,
        {},
        { admission: createAdmission({ failureShare }) },
      );
    });
    return chooseServer(demand, loads, CONTEXT)?.load.id ?? "";
  };
  const owner = place(new Set());
  const second = place(new Set([owner]));
  assert.notEqual(second, owner);
  const third = place(new Set([owner, second]));
  assert.ok(![owner, second].includes(third), "both owners fail");
  // If most fail, the cause is hardly in the engines: no prefix moves.
  assert.equal(place(new Set(ids)), owner);
});

test("past failures decay, so that a failing server is tried again", () => {
  const grey = createLoad("grey");
  for (let i = 0; i < 50; i += 1) grey.health.noteOutcome("failed", 1_000);
  assert.ok(grey.failureShare(1_000) > 0.9);
  assert.ok(grey.failureShare(20_000) < 0.1);
});

test("the only server is used however often it failed", () => {
  const grey = createLoad("grey");
  for (let i = 0; i < 50; i += 1)
    grey.health.noteOutcome("failed", CONTEXT.nowMs);
  assert.equal(chooseServer(createDemand(), [grey], CONTEXT)?.load.id, "grey");
});

test("a prompt that would delay the streams at its owners goes to a faster engine", () => {
  const engine = { ...ENGINE, copiedTokensPerMs: 2_500 };
  const work = { runs: 8, unreadTokens: 0 };
  const loads = ["e1", "e2", "e3", "e4", "e5", "e6"].map((id) => {
    const tokensPerMs = id === "e6" ? 110 : 45;
    const admission = createAdmission({ ...work, tokensPerMs });
    return createLoad(id, {}, { engine, admission });
  });
  const choose = (ownTokens: number, eventGapMs: number | null) => {
    const prompt = {
      model: "m",
      parts: [
        { id: prefixOf("e1"), tokens: 9_000 },
        { id: "own", tokens: ownTokens },
      ],
      ...{ inputTokens: 9_000 + ownTokens, outputTokens: 100 },
    };
    const demand = createDemand({ prompt, eventGapMs });
    return chooseServer(demand, loads, CONTEXT)?.load.id;
  };
  // A prefix that neither owner of which is the fast engine.
  function prefixOf(owner: string): string {
    const heads = Array.from({ length: 100 }, (_, index) => `head-${index}`);
    const isOwner = (head: string) => {
      const demand = createDemand({ prompt: createPrompt(head, "own") });
      const owners = ownersOf(demand.prompt?.parts ?? [], loads);
      const ids = owners.map(({ id }) => id);
      return ids[0] === owner && !ids.includes("e6");
    };
    return heads.find(isOwner) ?? assert.fail("No such prefix");
  }
  assert.equal(choose(3_000, 400), "e1");
  assert.equal(choose(20_000, 400), "e6");
  // Routes that name no pace are served as before.
  assert.equal(choose(20_000, null), "e1");
});
