/** What callers get of one engine when they ask for more than it produces. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { Gate, type Router } from "../../src/admission/mod.ts";
import type { Ask, EngineTerms } from "../../src/protocol/mod.ts";
import { createClock, type ManualClock } from "../support/manual_clock.ts";

const TOKENS_PER_MS = 40;
/** Time in which the gate's budget recovers from any request here. */
const REST_MS = 500;

function createTerms(change: Partial<EngineTerms> = {}): EngineTerms {
  return {
    type: "engine-terms",
    version: 1,
    server: "e1",
    startedAtMs: 1,
    slots: 16,
    cacheTokens: 400_000,
    tokensPerMs: TOKENS_PER_MS,
    ...change,
  };
}

let lastAsk = 0;

function createAsk(team: string, change: Partial<Ask> = {}): Ask {
  lastAsk += 1;
  return {
    type: "ask",
    ask: lastAsk,
    team,
    elsewhere: 0,
    cost: 4_000,
    parts: [
      ["head", 8_000],
      [`own-${lastAsk}`, 4_000],
    ],
    copiedTokens: 0,
    outputTokens: 100,
    objectiveMs: 1_000,
    leftMs: 1_000,
    ...change,
  };
}

/** A router that notes its permits. */
function createRouter(): Router & { readonly permits: number[] } {
  const permits: number[] = [];
  return { permits, permit: (ask) => permits.push(ask) };
}

function createGate(clock: ManualClock = createClock()) {
  const gate = new Gate(clock);
  gate.configure(createTerms());
  return { clock, gate, router: createRouter() };
}

test("an ask is permitted at once while there is room", () => {
  const { gate, router } = createGate();
  const ask = createAsk("a");
  gate.ask(router, ask);
  assert.deepEqual(router.permits, [ask.ask]);
  assert.equal(gate.load.runs, 1);
  assert.equal(gate.load.unreadTokens, 12_000);
});

test("nothing is permitted before the engine's terms are known", () => {
  const gate = new Gate(createClock());
  const router = createRouter();
  gate.ask(router, createAsk("a"));
  assert.deepEqual(router.permits, []);
  gate.configure(createTerms());
  assert.equal(router.permits.length, 1);
});

test("a head that is cached counts no more", () => {
  const { clock, gate, router } = createGate();
  const first = createAsk("a");
  gate.ask(router, first);
  gate.begun(router, first.ask);
  clock.pass(REST_MS);
  gate.ask(router, createAsk("a"));
  assert.equal(gate.load.unreadTokens, 4_000);
});

test("a head that is copied from another engine counts no more", () => {
  const { gate, router } = createGate();
  gate.ask(router, createAsk("a", { copiedTokens: 8_000 }));
  assert.equal(gate.load.unreadTokens, 4_000);
});

test("a server that started again has nothing cached", () => {
  const { clock, gate, router } = createGate();
  const first = createAsk("a");
  gate.ask(router, first);
  gate.begun(router, first.ask);
  clock.pass(REST_MS);
  gate.configure(createTerms({ startedAtMs: 2 }));
  gate.ask(router, createAsk("a"));
  assert.equal(gate.load.unreadTokens, 12_000);
});

test("terms of an earlier start or version are ignored", () => {
  const { gate, router } = createGate();
  gate.configure(createTerms({ startedAtMs: 0, slots: 1 }));
  gate.configure(createTerms({ version: 0, slots: 1 }));
  const small = { parts: [["p", 10]] } as const;
  gate.ask(router, createAsk("a", small));
  gate.ask(router, createAsk("a", small));
  assert.equal(gate.load.runs, 2);
});

test("a router that goes gives back what it had", () => {
  const { clock, gate, router } = createGate();
  const other = createRouter();
  gate.ask(router, createAsk("a"));
  clock.pass(REST_MS);
  gate.ask(other, createAsk("b"));
  assert.equal(other.permits.length, 0);
  gate.drop(router);
  assert.equal(other.permits.length, 1);
  gate.drop(other);
  const { runs, unreadTokens, privateTokens, asks } = gate.load;
  assert.deepEqual(
    { runs, unreadTokens, privateTokens, asks },
    { runs: 0, unreadTokens: 0, privateTokens: 0, asks: 0 },
  );
});

test("a request that was withdrawn is not permitted", () => {
  const { gate, router } = createGate();
  const first = createAsk("a");
  const second = createAsk("a");
  gate.ask(router, first);
  gate.ask(router, second);
  gate.withdraw(router, second.ask);
  gate.finish(router, first.ask, "served");
  assert.deepEqual(router.permits, [first.ask]);
});

test("requests that ran before the connection count", () => {
  const { gate, router } = createGate();
  const { team, parts, outputTokens } = createAsk("a");
  const held = { type: "held", ask: 1, team, parts, outputTokens } as const;
  gate.hold(router, { ...held, begun: true });
  gate.hold(router, { ...held, ask: 2, begun: false });
  assert.equal(gate.load.runs, 2);
  assert.equal(gate.load.unreadTokens, 4_000);
  gate.finish(router, 1, "served");
  gate.finish(router, 2, "served");
  assert.equal(gate.load.runs, 0);
});

/**
 * One team floods through one router while another asks for its share through
 * a second one. The engine reads at its pace and each run lasts a while.
 */
function playFlood({ floodEvery }: { readonly floodEvery: number }) {
  const { clock, gate } = createGate();
  const served = new Map<string, number>();
  const running: { done: () => void; endsAtMs: number }[] = [];
  let readingUntilMs = clock.monotonicMs();
  const createServedRouter = (team: string): Router => {
    const router: Router = {
      permit: (ask, uncachedTokens) => {
        served.set(team, (served.get(team) ?? 0) + 1);
        const startMs = Math.max(readingUntilMs, clock.monotonicMs());
        readingUntilMs = startMs + uncachedTokens / TOKENS_PER_MS;
        const begunAtMs = readingUntilMs;
        running.push({
          endsAtMs: begunAtMs,
          done: () => gate.begun(router, ask),
        });
        running.push({
          endsAtMs: begunAtMs + 200,
          done: () => gate.finish(router, ask, "served"),
        });
      },
    };
    return router;
  };
  const flood = createServedRouter("flood");
  const calm = createServedRouter("calm");
  for (let ms = 0; ms < 10_000; ms += 5) {
    clock.pass(5);
    gate.serve();
    const due = running.filter((one) => one.endsAtMs <= clock.monotonicMs());
    for (const one of due) {
      running.splice(running.indexOf(one), 1);
      one.done();
    }
    if (ms % floodEvery === 0) gate.ask(flood, createAsk("flood"));
    if (ms % 200 === 0) gate.ask(calm, createAsk("calm"));
  }
  return { flood: served.get("flood") ?? 0, calm: served.get("calm") ?? 0 };
}

test("a team that floods leaves another its share", () => {
  const { flood, calm } = playFlood({ floodEvery: 20 });
  // The calm team asks for 5 of the 10 requests a second that are produced.
  assert.ok(calm >= 45, `calm team was served ${calm} of 50`);
  assert.ok(flood >= 35, `capacity was left idle: flood was served ${flood}`);
});

test("no capacity is kept from a team that is alone", () => {
  const { flood, calm } = playFlood({ floodEvery: 50 });
  assert.ok(flood + calm >= 90, `${flood + calm} of about 100 were served`);
});

/** An engine that reads at once whatever it is given; counts tokens. */
function createReader(gate: Gate) {
  const read = { tokens: 0 };
  const router: Router = {
    permit: (ask, uncachedTokens) => {
      read.tokens += uncachedTokens;
      gate.begun(router, ask);
      gate.finish(router, ask, "served");
    },
  };
  return { read, router };
}

/** Streams whose prompts have been read. */
function holdStreams(gate: Gate, count: number): void {
  const router = createRouter();
  for (let ask = 1; ask <= count; ask += 1) {
    const parts = [[`s-${ask}`, 10]] as const;
    const held = { team: "streams", parts, outputTokens: 10, begun: true };
    gate.hold(router, { type: "held", ask, ...held });
  }
}

test("an engine whose streams run is given time beside reading", () => {
  const { clock, gate } = createGate();
  holdStreams(gate, 8);
  const { read, router } = createReader(gate);
  for (let i = 0; i < 200; i += 1) gate.ask(router, createAsk("a"));
  for (let ms = 0; ms < 1_000; ms += 10) {
    clock.pass(10);
    gate.serve();
  }
  const most = TOKENS_PER_MS * (1_000 + 250) + 12_000;
  assert.ok(read.tokens <= most, `${read.tokens} of at most ${most} tokens`);
  assert.ok(read.tokens >= TOKENS_PER_MS * 1_000, `only ${read.tokens} tokens`);
});

test("an engine that is idle gets work though its pace is overdrawn", () => {
  const { gate, router } = createGate();
  const cold = [1, 2, 3].map((head) =>
    createAsk("a", {
      parts: [
        [`head-${head}`, 40_000],
        [`own-${head}`, 4_000],
      ],
    }),
  );
  for (const ask of cold) gate.ask(router, ask);
  assert.equal(router.permits.length, 1);
  for (const { ask } of cold) gate.begun(router, ask);
  assert.deepEqual(
    router.permits,
    cold.map(({ ask }) => ask),
  );
});

test("all routers are told of an engine that fails, and that it is past", () => {
  const { clock, gate, router } = createGate();
  for (let i = 0; i < 5; i += 1) {
    const ask = createAsk("a");
    gate.ask(router, ask);
    gate.finish(router, ask.ask, "failed");
    clock.pass(REST_MS);
  }
  assert.ok(gate.load.failureShare > 0.5, `${gate.load.failureShare}`);
  clock.pass(20_000);
  assert.ok(gate.load.failureShare < 0.1, `${gate.load.failureShare}`);
});

test("a server that started again has failed nothing", () => {
  const { gate, router } = createGate();
  const ask = createAsk("a");
  gate.ask(router, ask);
  gate.finish(router, ask.ask, "failed");
  gate.configure(createTerms({ startedAtMs: 2 }));
  assert.equal(gate.load.failureShare, 0);
});

test("an engine that stops reading is told as slow", () => {
  const { clock, gate, router } = createGate();
  const ask = createAsk("a");
  gate.ask(router, ask);
  clock.pass(600);
  // 12,000 tokens take 300 ms, and steps beside streams as long again.
  assert.equal(gate.load.tokensPerMs, TOKENS_PER_MS);
  clock.pass(2_400);
  assert.ok(gate.load.tokensPerMs < 5, `${gate.load.tokensPerMs} tokens/ms`);
  gate.begun(router, ask.ask);
  assert.ok(gate.load.tokensPerMs > 10, `${gate.load.tokensPerMs} tokens/ms`);
});

test("what may still be on time goes before what is late", () => {
  const { clock, gate, router } = createGate();
  const blocker = createAsk("x");
  gate.ask(router, blocker);
  const late = createAsk("poor", { leftMs: -1 });
  const timely = createAsk("rich", { elsewhere: 50_000 });
  gate.ask(router, late);
  gate.ask(router, timely);
  clock.pass(REST_MS);
  gate.finish(router, blocker.ask, "served");
  assert.deepEqual(router.permits.slice(0, 2), [blocker.ask, timely.ask]);
});

test("a team with service elsewhere goes behind one without", () => {
  const { clock, gate, router } = createGate();
  const blocker = createAsk("x");
  gate.ask(router, blocker);
  clock.pass(REST_MS);
  const rich = createAsk("rich", { elsewhere: 50_000 });
  const poor = createAsk("poor");
  gate.ask(router, rich);
  gate.ask(router, poor);
  gate.finish(router, blocker.ask, "served");
  assert.deepEqual(router.permits.slice(0, 2), [blocker.ask, poor.ask]);
});
