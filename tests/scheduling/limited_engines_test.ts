/**
 * Plays a load of several times what engines take under their limits, from
 * several routers with old reports, and checks what each team gets.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import {
  AdmissionController,
  type PermitReceiver,
} from "../../src/admission/mod.ts";
import type { PermitRequest } from "../../src/protocol/mod.ts";
import type { Demand } from "../../src/scheduling/demand.ts";
import { chooseServer } from "../../src/scheduling/placement.ts";
import {
  createManualClock,
  type ManualClock,
} from "../support/manual_clock.ts";
import { createDemand, createPrompt } from "./demands.ts";
import { createEngineView } from "./engine_view.ts";

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
const PREFIXES = 20;
const ENGINE = { slots: 64, cacheTokens: 400_000, copiedTokensPerMs: 2_500 };

/** A request until it is permitted or refused. */
class WaitingRequest implements PermitReceiver {
  readonly demand: Demand;
  readonly router: number;
  readonly refuseAtMs: number;
  /** Engine whose permit it waits for, and the number of its ask there. */
  asked: { readonly engine: number; readonly ask: number } | null = null;
  askedAtMs = 0;
  isPermitted = false;
  hasEnded = false;

  constructor(demand: Demand, { number, nowMs }: RequestPosition) {
    this.demand = demand;
    this.router = number % ROUTERS;
    this.refuseAtMs = nowMs + MAX_WAIT_MS;
  }

  permit(): void {
    this.isPermitted = true;
  }
}

/** Which request of the play it is, and when it arrives. */
interface RequestPosition {
  readonly number: number;
  readonly nowMs: number;
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

/** Callers, routers and engines; `play` them once. */
class Fleet {
  readonly #clock = createManualClock();
  readonly #controllers = createControllers(this.#clock);
  readonly #viewsByRouter = Array.from({ length: ROUTERS }, () =>
    this.#controllers.map((controller, index) =>
      createEngineView(controller, {
        ...{ clock: this.#clock, id: `e${index}`, engine: ENGINE },
        ...{ tokensPerMs: 400, routers: ROUTERS },
      }),
    ),
  );
  readonly #served = new Map<string, number>();
  #waiting: WaitingRequest[] = [];
  #lastAsk = 0;
  #lastRequest = 0;

  /** Returns the number of requests that were served, by team. */
  play(
    requestsPerSByTeam: Readonly<Record<string, number>>,
  ): ReadonlyMap<string, number> {
    for (let ms = 0; ms < PLAYED_MS; ms += STEP_MS) {
      this.#clock.advance(STEP_MS);
      for (const controller of this.#controllers) controller.admitQueued();
      if (ms % REPORT_AGE_MS < STEP_MS) this.#report();
      for (const [team, perS] of Object.entries(requestsPerSByTeam)) {
        const before = Math.floor((ms * perS) / 1_000);
        const until = Math.floor(((ms + STEP_MS) * perS) / 1_000);
        for (let count = before; count < until; count += 1) this.#arrive(team);
      }
      for (const request of this.#waiting) this.#advance(request);
      this.#waiting = this.#waiting.filter(({ hasEnded }) => !hasEnded);
    }
    return this.#served;
  }

  #report(): void {
    const loads = this.#controllers.map(({ load }) => load);
    for (const views of this.#viewsByRouter) {
      for (const [index, view] of views.entries()) {
        const load = loads[index];
        if (load !== undefined) view.report = { ...load, routers: ROUTERS };
      }
    }
  }

  #arrive(team: string): void {
    this.#lastRequest += 1;
    const number = this.#lastRequest;
    const requestId = `r${number}`;
    const nowMs = this.#clock.monotonicMs();
    const demand = createDemand({
      ...{ requestId, team, objectiveMs: OBJECTIVE_MS },
      objectiveAtMs: nowMs + OBJECTIVE_MS,
      prompt: createPrompt(`head-${number % PREFIXES}`, requestId),
    });
    const request = new WaitingRequest(demand, { number, nowMs });
    this.#ask(request);
    this.#waiting.push(request);
  }

  /** Requests a permit of the best engine, unless the request has done so. */
  #ask(request: WaitingRequest): void {
    const { demand } = request;
    const views = this.#viewsByRouter[request.router] ?? [];
    const loads = views.map(({ load }) => load);
    const context = { availabilityZone: "a", nowMs: 0, share: 1 / ROUTERS };
    const choice = chooseServer(demand, loads, context);
    if (choice === null) return;
    const engine = loads.indexOf(choice.load);
    request.askedAtMs = this.#clock.monotonicMs();
    if (engine === request.asked?.engine) return;
    this.#withdraw(request);
    this.#lastAsk += 1;
    request.asked = { engine, ask: this.#lastAsk };
    const view = views[engine];
    if (view !== undefined)
      view.report = { ...view.report, asks: view.report.asks + 1 };
    const message = this.#permitRequest(demand, request.asked);
    this.#controllers[engine]?.enqueue(request, message);
  }

  #permitRequest(
    { team, objectiveAtMs, prompt }: Demand,
    { engine, ask }: { readonly engine: number; readonly ask: number },
  ): PermitRequest {
    const others = this.#controllers.filter((_, index) => index !== engine);
    return {
      ...{ type: "ask", ask, team, cost: 10_200, copiedTokens: 9_000 },
      elsewhere: others.reduce((sum, c) => sum + c.recentUsage.of(team), 0),
      parts: (prompt?.parts ?? []).map(({ id, tokens }) => [id, tokens]),
      ...{ outputTokens: 100, objectiveMs: OBJECTIVE_MS },
      leftMs: objectiveAtMs - this.#clock.monotonicMs(),
    };
  }

  #advance(request: WaitingRequest): void {
    const nowMs = this.#clock.monotonicMs();
    if (request.isPermitted) this.#serve(request);
    else if (nowMs >= request.refuseAtMs) {
      this.#withdraw(request);
      request.hasEnded = true;
    } else if (nowMs >= request.askedAtMs + OTHER_ENGINE_AFTER_MS) {
      this.#ask(request);
    }
  }

  #serve(request: WaitingRequest): void {
    const { asked, demand } = request;
    if (asked === null) return;
    const controller = this.#controllers[asked.engine];
    controller?.markPrefilled(request, asked.ask);
    controller?.finish(request, asked.ask, "served");
    const { team } = demand;
    this.#served.set(team, (this.#served.get(team) ?? 0) + 1);
    request.hasEnded = true;
  }

  #withdraw(request: WaitingRequest): void {
    if (request.asked === null) return;
    const { engine, ask } = request.asked;
    this.#controllers[engine]?.withdraw(request, ask);
  }
}

test("a team with few requests is served beside one that floods limited engines", () => {
  const small = TOTAL_PER_S * 0.3;
  const served = new Fleet().play({ flood: TOTAL_PER_S * 5, small });
  const asked = small * (PLAYED_MS / 1_000);
  const got = served.get("small") ?? 0;
  // The users' rule of fairness: half of what it asked for.
  assert.ok(got >= asked / 2, `${got} of ${asked}`);
});

test("what the limits of engines allow is used", () => {
  const served = new Fleet().play({ a: TOTAL_PER_S * 2, b: TOTAL_PER_S * 2 });
  const total = (served.get("a") ?? 0) + (served.get("b") ?? 0);
  const allowed = TOTAL_PER_S * (PLAYED_MS / 1_000);
  assert.ok(total >= allowed * 0.9, `${total} of ${allowed}`);
});
