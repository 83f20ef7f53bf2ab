/**
 * Plays a load of several times what engines take under their limits, from
 * several routers with old reports, and checks what each team gets.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { AdmissionController } from "../../src/admission/mod.ts";
import type {
  EngineAdmission,
  EngineReport,
} from "../../src/scheduling/engine_admission.ts";
import { chooseServer } from "../../src/scheduling/placement.ts";
import { PrefillRate } from "../../src/scheduling/prefill_rate.ts";
import { ServerLoad } from "../../src/scheduling/server_load.ts";
import {
  createManualClock,
  type ManualClock,
} from "../support/manual_clock.ts";
import { createServer } from "../support/servers.ts";
import { createDemand, createPrompt } from "./demands.ts";

const ENGINES = 8;
const ROUTERS = 6;
const LIMIT_PER_S = 2;
const TOTAL_PER_S = ENGINES * LIMIT_PER_S;
/** As at a fleet of 30 routers. */
const REPORT_AGE_MS = 375;
const OBJECTIVE_MS = 1_000;
const MAX_WAIT_MS = 600;
const OTHER_ENGINE_AFTER_MS = 200;
const STEP_MS = 20;
const PLAYED_MS = 20_000;
const ENGINE = { slots: 64, cacheTokens: 400_000, copiedTokensPerMs: 2_500 };

/** A router's view of one engine. */
interface View {
  readonly load: ServerLoad;
  report: EngineReport;
}

interface Waiting {
  readonly team: string;
  readonly router: number;
  readonly demand: ReturnType<typeof createDemand>;
  readonly refuseAtMs: number;
  engine: number;
  ask: number;
  askedAtMs: number;
  isPermitted: boolean;
  hasEnded: boolean;
}

function createControllers(clock: ManualClock): AdmissionController[] {
  return Array.from({ length: ENGINES }, (_, index) => {
    const controller = new AdmissionController(clock);
    const start = { server: `e${index}`, startedAtMs: 1 };
    controller.configure({
      ...{ type: "engine-terms", version: 1, ...start, tokensPerMs: 400 },
      ...{ slots: ENGINE.slots, cacheTokens: ENGINE.cacheTokens },
    });
    controller.noteRequestLimit({
      ...{ type: "request-limit", ...start, ageMs: 0 },
      requestsPerS: LIMIT_PER_S,
    });
    return controller;
  });
}

function createView(
  clock: ManualClock,
  controller: AdmissionController,
  id: string,
): View {
  const report = () => ({ ...controller.load, routers: ROUTERS });
  const view = { report: report() };
  const admission: EngineAdmission = {
    connected: true,
    get report() {
      return view.report;
    },
    requestPermit: () => () => {},
    usageOf: () => 0,
    noteRequestLimit: () => {},
  };
  const server = createServer({ id, service: "chat" });
  const rate = new PrefillRate(400);
  const load = new ServerLoad(server, ENGINE, { clock, rate, admission });
  return Object.assign(view, { load });
}

/** Returns the requests that were served, by team. */
function play(requestsPerSByTeam: Readonly<Record<string, number>>) {
  const clock = createManualClock();
  const controllers = createControllers(clock);
  const views = Array.from({ length: ROUTERS }, () =>
    controllers.map((controller, index) =>
      createView(clock, controller, `e${index}`),
    ),
  );
  const served = new Map<string, number>();
  let waiting: Waiting[] = [];
  let asks = 0;
  let lastRequest = 0;

  const usageElsewhere = (team: string, engine: number) =>
    controllers.reduce(
      (sum, { recentUsage }, index) =>
        index === engine ? sum : sum + recentUsage.of(team),
      0,
    );
  const ask = (request: Waiting) => {
    const { demand, team } = request;
    const loads = (views[request.router] ?? []).map(({ load }) => load);
    const context = { availabilityZone: "a", nowMs: 0, share: 1 / ROUTERS };
    const choice = chooseServer(demand, loads, context);
    if (choice === null || demand.prompt === null) return;
    const engine = Number(choice.load.id.slice(1));
    request.askedAtMs = clock.monotonicMs();
    if (engine === request.engine) return;
    controllers[request.engine]?.withdraw(receiverOf(request), request.ask);
    asks += 1;
    Object.assign(request, { engine, ask: asks });
    const view = views[request.router]?.[engine];
    if (view !== undefined)
      view.report = { ...view.report, asks: view.report.asks + 1 };
    const parts = demand.prompt.parts.map(({ id, tokens }) => [id, tokens]);
    controllers[engine]?.enqueue(receiverOf(request), {
      ...{ type: "ask", ask: asks, team, cost: 10_200 },
      ...{ elsewhere: usageElsewhere(team, engine), copiedTokens: 9_000 },
      parts: parts as [string, number][],
      ...{ outputTokens: 100, objectiveMs: OBJECTIVE_MS },
      leftMs: demand.objectiveAtMs - clock.monotonicMs(),
    });
  };
  const receivers = new Map<Waiting, { permit: (ask: number) => void }>();
  const receiverOf = (request: Waiting) => {
    const known = receivers.get(request);
    if (known !== undefined) return known;
    const receiver = {
      permit: () => {
        request.isPermitted = true;
        served.set(request.team, (served.get(request.team) ?? 0) + 1);
      },
    };
    receivers.set(request, receiver);
    return receiver;
  };

  for (let ms = 0; ms < PLAYED_MS; ms += STEP_MS) {
    clock.advance(STEP_MS);
    const nowMs = clock.monotonicMs();
    for (const controller of controllers) controller.admitQueued();
    if (ms % REPORT_AGE_MS < STEP_MS) {
      for (const router of views)
        for (const [index, view] of router.entries()) {
          const load = controllers[index]?.load;
          if (load !== undefined) view.report = { ...load, routers: ROUTERS };
        }
    }
    for (const [team, perS] of Object.entries(requestsPerSByTeam)) {
      const before = Math.floor((ms * perS) / 1_000);
      const until = Math.floor(((ms + STEP_MS) * perS) / 1_000);
      for (let count = before; count < until; count += 1) {
        lastRequest += 1;
        const request: Waiting = {
          ...{ team, router: lastRequest % ROUTERS, engine: -1, ask: 0 },
          demand: createDemand({
            ...{
              requestId: `r${lastRequest}`,
              team,
              objectiveMs: OBJECTIVE_MS,
            },
            objectiveAtMs: nowMs + OBJECTIVE_MS,
            prompt: createPrompt(`head-${lastRequest % 20}`, `r${lastRequest}`),
          }),
          refuseAtMs: nowMs + MAX_WAIT_MS,
          ...{ askedAtMs: 0, isPermitted: false, hasEnded: false },
        };
        ask(request);
        waiting.push(request);
      }
    }
    for (const request of waiting) {
      const receiver = receiverOf(request);
      const controller = controllers[request.engine];
      if (request.isPermitted) {
        controller?.markPrefilled(receiver, request.ask);
        controller?.finish(receiver, request.ask, "served");
        request.hasEnded = true;
      } else if (nowMs >= request.refuseAtMs) {
        controller?.withdraw(receiver, request.ask);
        request.hasEnded = true;
      } else if (nowMs >= request.askedAtMs + OTHER_ENGINE_AFTER_MS) {
        ask(request);
      }
    }
    waiting = waiting.filter(({ hasEnded }) => !hasEnded);
  }
  return served;
}

test("a team with few requests is served beside one that floods limited engines", () => {
  const small = TOTAL_PER_S * 0.3;
  const served = play({ flood: TOTAL_PER_S * 5, small });
  const asked = small * (PLAYED_MS / 1_000);
  const got = served.get("small") ?? 0;
  // The users' rule of fairness: half of what it asked for.
  assert.ok(got >= asked / 2, `${got} of ${asked}`);
});

test("what the limits of engines allow is used", () => {
  const served = play({ a: TOTAL_PER_S * 2, b: TOTAL_PER_S * 2 });
  const total = (served.get("a") ?? 0) + (served.get("b") ?? 0);
  const allowed = TOTAL_PER_S * (PLAYED_MS / 1_000);
  assert.ok(total >= allowed * 0.9, `${total} of ${allowed}`);
});
