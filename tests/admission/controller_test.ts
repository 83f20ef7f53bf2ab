/**
 * Guards the admission of requests to one engine: permits, load figures, and
 * fair order when callers send more than the engine can serve.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import {
  AdmissionController,
  type PermitReceiver,
} from "../../src/admission/mod.ts";
import { ServerNotices, ZoneEvacuations } from "../../src/directory/mod.ts";
import type {
  EngineConfiguration,
  PermitRequest,
} from "../../src/protocol/mod.ts";
import {
  createManualClock,
  type ManualClock,
} from "../support/manual_clock.ts";

const TOKENS_PER_MS = 40;
/** Time in which the token bucket refills after any request in these tests. */
const BUCKET_REFILL_MS = 500;

function createConfiguration(
  change: Partial<EngineConfiguration> = {},
): EngineConfiguration {
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

let lastRequestNumber = 0;

function createRequest(
  team: string,
  change: Partial<PermitRequest> = {},
): PermitRequest {
  lastRequestNumber += 1;
  return {
    type: "ask",
    ask: lastRequestNumber,
    team,
    elsewhere: 0,
    cost: 4_000,
    parts: [
      ["head", 8_000],
      [`own-${lastRequestNumber}`, 4_000],
    ],
    copiedTokens: 0,
    outputTokens: 100,
    objectiveMs: 1_000,
    leftMs: 1_000,
    ...change,
  };
}

/** Returns a router that records its permits. */
function createRouter(): PermitReceiver & { readonly permits: number[] } {
  const permits: number[] = [];
  return { permits, permit: (ask) => permits.push(ask) };
}

function createController(clock: ManualClock = createManualClock()) {
  const controller = new AdmissionController(clock);
  controller.configure(createConfiguration());
  return { clock, controller, router: createRouter() };
}

test("a request is permitted at once while the engine has capacity", () => {
  const { controller, router } = createController();
  const request = createRequest("a");
  controller.enqueue(router, request);
  assert.deepEqual(router.permits, [request.ask]);
  assert.equal(controller.load.runs, 1);
  assert.equal(controller.load.unreadTokens, 12_000);
});

test("nothing is permitted before the engine's configuration is known", () => {
  const controller = new AdmissionController(createManualClock());
  const router = createRouter();
  controller.enqueue(router, createRequest("a"));
  assert.deepEqual(router.permits, []);
  controller.configure(createConfiguration());
  assert.equal(router.permits.length, 1);
});

test("a cached prompt prefix needs no prefill", () => {
  const { clock, controller, router } = createController();
  const first = createRequest("a");
  controller.enqueue(router, first);
  controller.markPrefilled(router, first.ask);
  clock.advance(BUCKET_REFILL_MS);
  controller.enqueue(router, createRequest("a"));
  assert.equal(controller.load.unreadTokens, 4_000);
});

test("a prompt prefix copied from another engine needs no prefill", () => {
  const { controller, router } = createController();
  controller.enqueue(router, createRequest("a", { copiedTokens: 8_000 }));
  assert.equal(controller.load.unreadTokens, 4_000);
});

test("a restarted server has an empty cache", () => {
  const { clock, controller, router } = createController();
  const first = createRequest("a");
  controller.enqueue(router, first);
  controller.markPrefilled(router, first.ask);
  clock.advance(BUCKET_REFILL_MS);
  controller.configure(createConfiguration({ startedAtMs: 2 }));
  controller.enqueue(router, createRequest("a"));
  assert.equal(controller.load.unreadTokens, 12_000);
});

test("a configuration of an earlier start or version is ignored", () => {
  const { controller, router } = createController();
  controller.configure(createConfiguration({ startedAtMs: 0, slots: 1 }));
  controller.configure(createConfiguration({ version: 0, slots: 1 }));
  const small = { parts: [["p", 10]] } as const;
  controller.enqueue(router, createRequest("a", small));
  controller.enqueue(router, createRequest("a", small));
  assert.equal(controller.load.runs, 2);
});

test("a router that disconnects releases its requests", () => {
  const { clock, controller, router } = createController();
  const other = createRouter();
  controller.enqueue(router, createRequest("a"));
  clock.advance(BUCKET_REFILL_MS);
  controller.enqueue(other, createRequest("b"));
  assert.equal(other.permits.length, 0);
  controller.removeRouter(router);
  assert.equal(other.permits.length, 1);
  controller.removeRouter(other);
  const { runs, unreadTokens, privateTokens, asks } = controller.load;
  assert.deepEqual(
    { runs, unreadTokens, privateTokens, asks },
    { runs: 0, unreadTokens: 0, privateTokens: 0, asks: 0 },
  );
});

test("a withdrawn request is not permitted", () => {
  const { controller, router } = createController();
  const first = createRequest("a");
  const second = createRequest("a");
  controller.enqueue(router, first);
  controller.enqueue(router, second);
  controller.withdraw(router, second.ask);
  controller.finish(router, first.ask, "served");
  assert.deepEqual(router.permits, [first.ask]);
});

test("requests sent before the router connected count as running", () => {
  const { controller, router } = createController();
  const { team, parts, outputTokens } = createRequest("a");
  const running = { type: "held", ask: 1, team, parts, outputTokens } as const;
  controller.addRunning(router, { ...running, begun: true });
  controller.addRunning(router, { ...running, ask: 2, begun: false });
  assert.equal(controller.load.runs, 2);
  assert.equal(controller.load.unreadTokens, 4_000);
  controller.finish(router, 1, "served");
  controller.finish(router, 2, "served");
  assert.equal(controller.load.runs, 0);
});

/**
 * Simulates 10 s in which the team "flood" sends a request every `intervalMs`
 * through one router, and the team "calm" its share through a second one, with
 * `calmLeftMs` until each is due. The engine prefills at its rate, and each
 * request runs for another 200 ms. Returns how many requests of each team were
 * served.
 */
function simulateFlood({
  intervalMs,
  calmLeftMs = 1_000,
}: {
  readonly intervalMs: number;
  readonly calmLeftMs?: number;
}) {
  const { clock, controller } = createController();
  const served = new Map<string, number>();
  const running: { done: () => void; endsAtMs: number }[] = [];
  let prefillEndsAtMs = clock.monotonicMs();
  const createServingRouter = (team: string): PermitReceiver => {
    const router: PermitReceiver = {
      permit: (ask, uncachedTokens) => {
        served.set(team, (served.get(team) ?? 0) + 1);
        const startMs = Math.max(prefillEndsAtMs, clock.monotonicMs());
        prefillEndsAtMs = startMs + uncachedTokens / TOKENS_PER_MS;
        const prefilledAtMs = prefillEndsAtMs;
        running.push({
          endsAtMs: prefilledAtMs,
          done: () => controller.markPrefilled(router, ask),
        });
        running.push({
          endsAtMs: prefilledAtMs + 200,
          done: () => controller.finish(router, ask, "served"),
        });
      },
    };
    return router;
  };
  const flood = createServingRouter("flood");
  const calm = createServingRouter("calm");
  for (let ms = 0; ms < 10_000; ms += 5) {
    clock.advance(5);
    controller.admitQueued();
    const due = running.filter((one) => one.endsAtMs <= clock.monotonicMs());
    for (const one of due) {
      running.splice(running.indexOf(one), 1);
      one.done();
    }
    if (ms % intervalMs === 0)
      controller.enqueue(flood, createRequest("flood"));
    if (ms % 200 !== 0) continue;
    controller.enqueue(calm, createRequest("calm", { leftMs: calmLeftMs }));
  }
  return { flood: served.get("flood") ?? 0, calm: served.get("calm") ?? 0 };
}

test("a team that overloads the engine leaves another its share", () => {
  const { flood, calm } = simulateFlood({ intervalMs: 20 });
  // The calm team sends 5 of the 10 requests that are served per second.
  assert.ok(calm >= 45, `calm team was served ${calm} of 50`);
  assert.ok(flood >= 35, `capacity was left idle: flood was served ${flood}`);
});

test("a team whose callers come back late keeps half of its share", () => {
  const { calm } = simulateFlood({ intervalMs: 20, calmLeftMs: -1_000 });
  assert.ok(calm >= 25, `calm team was served ${calm} of 50`);
});

test("capacity that one team leaves unused goes to the other", () => {
  const { flood, calm } = simulateFlood({ intervalMs: 50 });
  assert.ok(flood + calm >= 90, `${flood + calm} of about 100 were served`);
});

/** Returns a router whose requests end at once; counts prefilled tokens. */
function createInstantRouter(controller: AdmissionController) {
  const prefilled = { tokens: 0 };
  const router: PermitReceiver = {
    permit: (ask, uncachedTokens) => {
      prefilled.tokens += uncachedTokens;
      controller.markPrefilled(router, ask);
      controller.finish(router, ask, "served");
    },
  };
  return { prefilled, router };
}

/** Adds running streams whose prefill has ended. */
function addStreams(controller: AdmissionController, count: number): void {
  const router = createRouter();
  for (let ask = 1; ask <= count; ask += 1) {
    const parts = [[`s-${ask}`, 10]] as const;
    const running = { team: "streams", parts, outputTokens: 10, begun: true };
    controller.addRunning(router, { type: "held", ask, ...running });
  }
}

test("prompts are admitted at the prefill rate while streams run", () => {
  const { clock, controller } = createController();
  addStreams(controller, 8);
  const { prefilled, router } = createInstantRouter(controller);
  for (let i = 0; i < 200; i += 1)
    controller.enqueue(router, createRequest("a"));
  for (let ms = 0; ms < 1_000; ms += 10) {
    clock.advance(10);
    controller.admitQueued();
  }
  // The bucket holds 250 ms of tokens, and the last request may overdraw it.
  const maxTokens = TOKENS_PER_MS * (1_000 + 250) + 12_000;
  assert.ok(
    prefilled.tokens <= maxTokens,
    `${prefilled.tokens} of at most ${maxTokens} tokens`,
  );
  assert.ok(
    prefilled.tokens >= TOKENS_PER_MS * 1_000,
    `only ${prefilled.tokens} tokens`,
  );
});

test("a lightly loaded engine gets requests beyond the prefill rate", () => {
  const { controller, router } = createController();
  const uncached = [1, 2, 3].map((head) =>
    createRequest("a", {
      parts: [
        [`head-${head}`, 40_000],
        [`own-${head}`, 4_000],
      ],
    }),
  );
  for (const request of uncached) controller.enqueue(router, request);
  assert.equal(router.permits.length, 1);
  for (const { ask } of uncached) controller.markPrefilled(router, ask);
  assert.deepEqual(
    router.permits,
    uncached.map(({ ask }) => ask),
  );
});

test("the failure share rises with failures and decays with time", () => {
  const { clock, controller, router } = createController();
  for (let i = 0; i < 5; i += 1) {
    const request = createRequest("a");
    controller.enqueue(router, request);
    controller.finish(router, request.ask, "failed");
    clock.advance(BUCKET_REFILL_MS);
  }
  assert.ok(
    controller.load.failureShare > 0.5,
    `${controller.load.failureShare}`,
  );
  clock.advance(20_000);
  assert.ok(
    controller.load.failureShare < 0.1,
    `${controller.load.failureShare}`,
  );
});

test("a restarted server has no failures", () => {
  const { controller, router } = createController();
  const request = createRequest("a");
  controller.enqueue(router, request);
  controller.finish(router, request.ask, "failed");
  controller.configure(createConfiguration({ startedAtMs: 2 }));
  assert.equal(controller.load.failureShare, 0);
});

test("the reported prefill rate drops while a prefill is overdue", () => {
  const { clock, controller, router } = createController();
  const request = createRequest("a");
  controller.enqueue(router, request);
  clock.advance(600);
  // Prefill of 12,000 tokens takes 300 ms, with an allowance of 300 ms.
  assert.equal(controller.load.tokensPerMs, TOKENS_PER_MS);
  clock.advance(2_400);
  assert.ok(
    controller.load.tokensPerMs < 5,
    `${controller.load.tokensPerMs} tokens/ms`,
  );
  controller.markPrefilled(router, request.ask);
  assert.ok(
    controller.load.tokensPerMs > 10,
    `${controller.load.tokensPerMs} tokens/ms`,
  );
});

/** Returns which of two requests that wait is permitted first. */
function firstOf(
  one: PermitRequest,
  other: PermitRequest,
): PermitRequest | null {
  const { clock, controller, router } = createController();
  const blocker = createRequest("x");
  for (const request of [blocker, one, other])
    controller.enqueue(router, request);
  clock.advance(BUCKET_REFILL_MS);
  controller.finish(router, blocker.ask, "served");
  return [one, other].find(({ ask }) => ask === router.permits[1]) ?? null;
}

test("requests that can still be on time go before late ones of a team", () => {
  const late = createRequest("a", { leftMs: -1 });
  const onTime = createRequest("a");
  assert.equal(firstOf(late, onTime), onTime);
});

test("requests that can still be on time go first at a like usage", () => {
  const late = createRequest("a", { leftMs: -1, elsewhere: 50_000 });
  const onTime = createRequest("b", { elsewhere: 50_000 });
  assert.equal(firstOf(late, onTime), onTime);
  const lessUsed = createRequest("a", { leftMs: -1, elsewhere: 40_000 });
  assert.equal(firstOf(lessUsed, onTime), onTime);
});

test("a late request goes before those of a team with twice the usage", () => {
  const late = createRequest("a", { leftMs: -1, elsewhere: 50_000 });
  const onTime = createRequest("b", { elsewhere: 100_000 });
  assert.equal(firstOf(late, onTime), late);
});

test("usage at other servers puts a team behind one without any", () => {
  const { clock, controller, router } = createController();
  const blocker = createRequest("x");
  controller.enqueue(router, blocker);
  clock.advance(BUCKET_REFILL_MS);
  const rich = createRequest("rich", { elsewhere: 50_000 });
  const poor = createRequest("poor");
  controller.enqueue(router, rich);
  controller.enqueue(router, poor);
  controller.finish(router, blocker.ask, "served");
  assert.deepEqual(router.permits.slice(0, 2), [blocker.ask, poor.ask]);
});

for (const notice of [
  { type: "paused", forMs: 3_000 },
  { type: "leaving" },
] as const) {
  test(`an engine that is ${notice.type} gets no permits`, () => {
    const clock = createManualClock();
    const notices = new ServerNotices(clock);
    const controller = new AdmissionController(clock, notices);
    const router = createRouter();
    controller.configure(createConfiguration());
    notices.note({ id: "e1", startedAtMs: 1 }, notice);
    controller.enqueue(router, createRequest("a"));
    clock.advance(2_999);
    controller.admitQueued();
    assert.equal(router.permits.length, 0);
    // A server that leaves is not admitted to later; one that restarts is.
    if (notice.type === "paused") clock.advance(1);
    else controller.configure(createConfiguration({ startedAtMs: 2 }));
    controller.admitQueued();
    assert.equal(router.permits.length, 1);
  });
}

test("no permits are issued while the engine's zone is emptied", () => {
  const clock = createManualClock();
  const evacuations = new ZoneEvacuations(clock);
  const controller = new AdmissionController(clock, new ServerNotices(clock), {
    zone: { isEmptied: () => evacuations.isEmptied("a") },
  });
  controller.configure(createConfiguration());
  const learn = (revision: number, ...zones: string[]) =>
    evacuations.learn({ era: 1, revision, zones, ageMs: 0 }, "relay");
  const router = createRouter();
  learn(1, "b");
  const first = createRequest("t");
  controller.enqueue(router, first);
  assert.equal(router.permits.length, 1);
  controller.finish(router, first.ask, "served");
  learn(2, "a");
  controller.enqueue(router, createRequest("t"));
  clock.advance(BUCKET_REFILL_MS);
  controller.admitQueued();
  assert.equal(router.permits.length, 1);
  learn(3);
  controller.admitQueued();
  assert.equal(router.permits.length, 2);
});
