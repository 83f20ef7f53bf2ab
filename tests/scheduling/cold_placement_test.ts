/**
 * Plays requests for shared prefixes at engines of which some are cold, and
 * checks where they go and how many wait in front of a cold one.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { AdmissionController } from "../../src/admission/mod.ts";
import { ServerNotices } from "../../src/directory/mod.ts";
import { ColdLoads } from "../../src/scheduling/cold_loads.ts";
import { limitDelayMs } from "../../src/scheduling/limit_delay.ts";
import { chooseServer } from "../../src/scheduling/placement.ts";
import { PrefillRate } from "../../src/scheduling/prefill_rate.ts";
import { ServerLoad } from "../../src/scheduling/server_load.ts";
import {
  createManualClock,
  type ManualClock,
} from "../support/manual_clock.ts";
import { createServer } from "../support/servers.ts";
import { createDemand, createPrompt } from "./demands.ts";
import { createEngineView, type EngineView } from "./engine_view.ts";

const ENGINES = 6;
const COLD_ENGINES = 2;
const ENGINE = { slots: 64, cacheTokens: 400_000, copiedTokensPerMs: 2_500 };
const COLD_START = { durationMs: 3_000, requestsPerS: 9 };
const REQUESTS_PER_S = ENGINES * 12;
const STEP_MS = 10;
const REPORT_EVERY_MS = 200;
const PREFIXES = 60;
/** Time after which a request that waits for a permit gives up. */
const MAX_WAIT_MS = 600;

function createController(
  clock: ManualClock,
  { server, remainingMs }: { server: string; remainingMs: number },
): AdmissionController {
  const bounds = { overshoot: 1.5, slack: 5 };
  const notices = new ServerNotices(clock);
  const controller = new AdmissionController(clock, notices, {
    coldBounds: bounds,
  });
  controller.configure({
    ...{ type: "engine-terms", version: 1, server, startedAtMs: 1 },
    ...{ slots: 64, cacheTokens: ENGINE.cacheTokens, tokensPerMs: 400 },
    coldTerms: { ...COLD_START, remainingMs, routers: 1 },
  });
  return controller;
}

/** Engines, some of them cold, and one router; `run` them once. */
class Ramp {
  /** Requests that each engine was given. */
  readonly sent: number[] = Array.from({ length: ENGINES }, () => 0);
  /** Most requests that waited in front of one cold engine. */
  mostAsks = 0;
  refused = 0;
  readonly #clock = createManualClock();
  readonly #controllers: readonly AdmissionController[];
  readonly #views: readonly EngineView[];
  /** When requests that wait for permits give up, by number. */
  readonly #waitingUntilMs = new Map<number, number>();

  constructor() {
    const clock = this.#clock;
    this.#controllers = Array.from({ length: ENGINES }, (_, index) =>
      createController(clock, { server: `e${index}`, remainingMs: 0 }),
    );
    // Controllers that start are cold for a second.
    clock.advance(2_000);
    for (const controller of this.#coldControllers)
      controller.coldGuard.noteStart("engine-started");
    this.#views = this.#controllers.map((controller, index) => {
      const options = { id: `e${index}`, engine: ENGINE, tokensPerMs: 400 };
      return createEngineView(controller, { clock, ...options, routers: 1 });
    });
  }

  run(forMs: number): void {
    for (let ms = 0; ms < forMs; ms += STEP_MS) {
      this.#clock.advance(STEP_MS);
      if (ms % REPORT_EVERY_MS === 0) this.#report();
      const before = Math.floor((ms * REQUESTS_PER_S) / 1_000);
      const until = Math.floor(((ms + STEP_MS) * REQUESTS_PER_S) / 1_000);
      for (let number = before; number < until; number += 1) this.#ask(number);
      for (const controller of this.#controllers) controller.admitQueued();
      this.#refuseLate();
      for (const { load } of this.#coldControllers)
        this.mostAsks = Math.max(this.mostAsks, load.asks);
    }
  }

  get #coldControllers(): readonly AdmissionController[] {
    return this.#controllers.slice(0, COLD_ENGINES);
  }

  #report(): void {
    for (const [index, { load }] of this.#controllers.entries()) {
      const view = this.#views[index];
      if (view !== undefined) view.report = { ...load, routers: 1 };
    }
  }

  #ask(number: number): void {
    const nowMs = this.#clock.monotonicMs();
    const prompt = createPrompt(`head-${number % PREFIXES}`, `r${number}`);
    const demand = createDemand({ requestId: `r${number}`, prompt });
    const loads = this.#views.map(({ load }) => load);
    const context = { availabilityZone: "a", nowMs, share: 1 };
    const choice = chooseServer(demand, loads, context);
    const engine = choice === null ? -1 : loads.indexOf(choice.load);
    const controller = this.#controllers[engine];
    const view = this.#views[engine];
    if (controller === undefined || view === undefined) return;
    view.report = { ...view.report, asks: view.report.asks + 1 };
    this.#waitingUntilMs.set(number, nowMs + MAX_WAIT_MS);
    const receiver = {
      permit: (ask: number) => {
        this.#waitingUntilMs.delete(ask);
        this.sent[engine] = (this.sent[engine] ?? 0) + 1;
        controller.markPrefilled(receiver, ask);
        controller.finish(receiver, ask, "served");
      },
    };
    controller.enqueue(receiver, {
      ...{ type: "ask", ask: number, team: "a", elsewhere: 0, cost: 1_000 },
      parts: prompt.parts.map(({ id, tokens }) => [id, tokens]),
      ...{ copiedTokens: 9_000, outputTokens: 100, objectiveMs: 1_000 },
      leftMs: 1_000,
    });
  }

  #refuseLate(): void {
    for (const [number, untilMs] of this.#waitingUntilMs) {
      if (this.#clock.monotonicMs() < untilMs) continue;
      this.#waitingUntilMs.delete(number);
      this.refused += 1;
    }
  }
}

test("cold engines are filled alike up to their pace, and nothing piles up", () => {
  const pacedMs = COLD_START.durationMs - 100;
  const ramp = new Ramp();
  ramp.run(pacedMs);
  const { sent, mostAsks, refused } = ramp;
  const pacedS = pacedMs / 1_000;
  for (const count of sent.slice(0, COLD_ENGINES)) {
    assert.ok(count <= pacedS * COLD_START.requestsPerS + 3, `${sent}`);
    // They get what they will own, not only what others can't take.
    assert.ok(count >= pacedS * COLD_START.requestsPerS * 0.6, `${sent}`);
  }
  const offered = pacedS * REQUESTS_PER_S;
  assert.ok(refused <= offered * 0.05, `${refused} of ${offered} refused`);
  // A request may wait for some tenths of its objective, no more.
  assert.ok(mostAsks <= 2 + COLD_START.requestsPerS * 0.6, `${mostAsks}`);
});

test("a request is refused at once while all engines are cold and full", () => {
  const clock = createManualClock();
  const loads = ["e1", "e2"].map((server) => {
    const remainingMs = COLD_START.durationMs;
    const controller = createController(clock, { server, remainingMs });
    const view = createEngineView(controller, {
      ...{ clock, id: server, engine: ENGINE, tokensPerMs: 400, routers: 1 },
    });
    view.report = { ...view.report, asks: 9, freeSlots: 0 };
    return view.load;
  });
  const context = {
    ...{ loads, share: 1, queued: 0 },
    waitingTeams: () => new Set(["a"]),
    usageOf: (team: string) => (team === "a" ? 100 : 0),
  };
  // 19 requests at 18 a second.
  const flooding = limitDelayMs(createDemand({ team: "a" }), context);
  assert.equal(Math.round(flooding), 1_056);
  // A team without usage goes before them.
  const small = limitDelayMs(createDemand({ team: "b" }), context);
  assert.equal(Math.round(small), 56);
});

function createColdLoads(clock: ManualClock, isEngine: boolean) {
  const loads = new Map<string, ServerLoad>();
  const cold = new ColdLoads(clock, { loads, coldStartOf: () => COLD_START });
  const admission = {
    ...{ connected: false, report: null, usageOf: () => 0 },
    ...{ requestPermit: () => () => {}, noteRequestLimit: () => {} },
  };
  for (const [id, availabilityZone] of [
    ["s1", "a"],
    ["s2", "a"],
    ["s3", "b"],
  ] as const) {
    const server = createServer({ id, availabilityZone, startedAtMs: 1 });
    const coldShare = cold.createShare(server, isEngine);
    const rate = new PrefillRate(40);
    const deps = { clock, rate, coldShare };
    const engine = isEngine ? ENGINE : null;
    const own = isEngine ? admission : null;
    loads.set(id, new ServerLoad(server, engine, { ...deps, admission: own }));
  }
  const get = (id: string): ServerLoad => {
    const load = loads.get(id);
    assert.ok(load !== undefined);
    return load;
  };
  return { cold, get };
}

test("a zone that comes back is cold, and its routers tell the controllers", () => {
  const clock = createManualClock();
  const { cold, get } = createColdLoads(clock, true);
  const marked = cold.markZone("a").map(({ id }) => id);
  assert.deepEqual(marked, ["s1", "s2"]);
  assert.deepEqual(
    [...cold.countByZone],
    [
      ["a", 2],
      ["b", 0],
    ],
  );
  assert.equal(cold.termsOf(get("s1").server)?.remainingMs, 3_000);
  assert.equal(cold.termsOf(get("s3").server)?.remainingMs, 0);
  clock.advance(3_000);
  assert.equal(cold.countByZone.get("a"), 0);
});

test("the entry of a server tells how cold it is; a start of its own is another", () => {
  const clock = createManualClock();
  const { cold, get } = createColdLoads(clock, true);
  const { server } = get("s1");
  cold.apply({ type: "changed", server: { ...server, coldForMs: 800 } });
  // An older word doesn't end it.
  cold.apply({ type: "changed", server: { ...server, coldForMs: 100 } });
  assert.equal(cold.remainingMs(server), 800);
  assert.equal(cold.remainingMs({ ...server, startedAtMs: 2 }), 0);
});

test("without permits, an engine is bounded always, a plain server while cold", () => {
  const clock = createManualClock();
  const engines = createColdLoads(clock, true);
  engines.cold.noteRouters(10);
  const perS = engines.get("s1").limitedCapacity(0.1)?.requestsPerS ?? 0;
  assert.equal(perS.toFixed(2), "0.45");
  const plain = createColdLoads(clock, false);
  assert.equal(plain.get("s1").limitedCapacity(0.1), null);
  plain.cold.markZone("a");
  plain.cold.noteRouters(10);
  assert.notEqual(plain.get("s1").limitedCapacity(0.1), null);
  assert.equal(plain.get("s3").limitedCapacity(0.1), null);
});

test("nothing is refused at once while a controller is expected back", () => {
  const { get } = createColdLoads(createManualClock(), true);
  const delayMs = limitDelayMs(createDemand({ team: "a" }), {
    ...{ loads: [get("s1"), get("s2")], share: 1, queued: 5 },
    ...{ waitingTeams: () => new Set(["a"]), usageOf: () => 1 },
  });
  assert.equal(delayMs, 0);
});
