/**
 * Routers and engines without a network: each router sees a small part of the
 * requests, and its reports of the engines are old.
 */

import type { PermitReceiver } from "../../src/admission/mod.ts";
import type { Demand } from "../../src/scheduling/demand.ts";
import { type Choice, chooseServer } from "../../src/scheduling/placement.ts";
import { createManualClock } from "../support/manual_clock.ts";
import { createDemand, createPrompt } from "./demands.ts";
import { createEngineView, type EngineView } from "./engine_view.ts";
import { PlayedEngine } from "./played_engine.ts";

const ENGINES = 30;
const ROUTERS = 24;
const TOKENS_PER_MS = 40;
/** Own tokens of each prompt; the prefix of 9,000 is cached or copied. */
export const OWN_TOKENS = 1_000;
/** Requests that all engines together can prefill in a second. */
const CAPACITY_PER_S = (ENGINES * TOKENS_PER_MS * 1_000) / OWN_TOKENS;
const COPIED_TOKENS_PER_MS = 2_500;
const OBJECTIVE_MS = 1_000;
const MAX_WAIT_MS = 600;
const OTHER_ENGINE_AFTER_MS = 200;
const STEP_MS = 5;
const PLAYED_MS = 10_000;
/** Before it, caches are empty and all prefixes have to be prefilled. */
const WARM_AFTER_MS = 4_000;
const PREFIXES = 200;

/** How busy the fleet is, and what part of the requests share one prefix. */
export interface Traffic {
  /** Share of `CAPACITY_PER_S` that is asked for. */
  readonly utilization: number;
  readonly hotShare: number;
}

/** What became of the requests of a play. */
export interface Outcome {
  readonly asked: number;
  readonly onTime: number;
  /** Tokens prefilled for each request, its own among them. */
  readonly tokensPerRequest: number;
}

/** A request until its first token or its refusal. */
class PlayedRequest implements PermitReceiver {
  readonly demand: Demand;
  readonly router: number;
  readonly arrivedAtMs: number;
  asked: { readonly engine: number; readonly ask: number } | null = null;
  askedAtMs = 0;
  /** Tokens to prefill, once it has a permit. */
  permitted: number | null = null;

  constructor(demand: Demand, router: number, arrivedAtMs: number) {
    this.demand = demand;
    this.router = router;
    this.arrivedAtMs = arrivedAtMs;
  }

  permit(_ask: number, uncachedTokens: number): void {
    this.permitted = uncachedTokens;
  }
}

/** Routers and engines; `play` them once. */
export class Fleet {
  readonly #clock = createManualClock();
  readonly #engines: readonly PlayedEngine[];
  readonly #viewsByRouter: readonly (readonly EngineView[])[];
  #waiting: PlayedRequest[] = [];
  #lastAsk = 0;
  #asked = 0;
  #onTime = 0;
  #tokens = 0;
  #begun = 0;

  /** @param speeds speeds of the engines in turn, relative to the expected one */
  constructor(cacheTokens: number, speeds: readonly number[] = [1]) {
    const copying = { copiedTokensPerMs: COPIED_TOKENS_PER_MS };
    const engine = { slots: 64, cacheTokens, ...copying };
    const common = { clock: this.#clock, engine, tokensPerMs: TOKENS_PER_MS };
    this.#engines = Array.from({ length: ENGINES }, (_, index) => {
      const speed = speeds[index % speeds.length] ?? 1;
      return new PlayedEngine({ ...common, id: `e${index}`, speed });
    });
    this.#viewsByRouter = Array.from({ length: ROUTERS }, () =>
      this.#engines.map(({ controller }, index) =>
        createEngineView(controller, {
          ...{ ...common, id: `e${index}`, routers: ROUTERS },
        }),
      ),
    );
  }

  /** Counts the requests that arrive after `WARM_AFTER_MS`. */
  play({ utilization, hotShare }: Traffic): Outcome {
    const perStep = (CAPACITY_PER_S * utilization * STEP_MS) / 1_000;
    for (let step = 0; step * STEP_MS < PLAYED_MS; step += 1) {
      this.#clock.advance(STEP_MS);
      for (const engine of this.#engines) engine.advance();
      this.#reportInTurn(step);
      const before = Math.floor(step * perStep);
      const until = Math.floor((step + 1) * perStep);
      for (let n = before; n < until; n += 1) this.#arrive(n, hotShare);
      this.#waiting = this.#waiting.filter((one) => this.#advance(one));
    }
    const tokensPerRequest = this.#tokens / this.#begun;
    return { asked: this.#asked, onTime: this.#onTime, tokensPerRequest };
  }

  /** Each engine reports to all routers, one engine after the other. */
  #reportInTurn(step: number): void {
    const intervalSteps = (ROUTERS * 12.5) / STEP_MS;
    for (const [index, { controller }] of this.#engines.entries()) {
      if ((step + index * 7) % intervalSteps >= 1) continue;
      const report = { ...controller.load, routers: ROUTERS };
      for (const views of this.#viewsByRouter) {
        const view = views[index];
        if (view !== undefined) view.report = report;
      }
    }
  }

  #arrive(number: number, hotShare: number): void {
    const nowMs = this.#clock.monotonicMs();
    const isHot = (number * 0.618_034) % 1 < hotShare;
    const prefix = isHot ? "hot" : `head-${(number * 7_919) % PREFIXES}`;
    const requestId = `r${number}`;
    const demand = createDemand({
      ...{ requestId, team: "t", objectiveMs: OBJECTIVE_MS },
      objectiveAtMs: nowMs + OBJECTIVE_MS,
      prompt: createPrompt(prefix, requestId),
    });
    const request = new PlayedRequest(demand, number % ROUTERS, nowMs);
    if (nowMs > WARM_AFTER_MS) this.#asked += 1;
    this.#ask(request);
    this.#waiting.push(request);
  }

  #ask(request: PlayedRequest): void {
    const { demand } = request;
    const views = this.#viewsByRouter[request.router] ?? [];
    const loads = views.map(({ load }) => load);
    const nowMs = this.#clock.monotonicMs();
    const context = { availabilityZone: "a", nowMs, share: 1 / ROUTERS };
    const choice = chooseServer(demand, loads, context);
    if (choice === null) return;
    request.askedAtMs = nowMs;
    const engine = loads.indexOf(choice.load);
    if (engine === request.asked?.engine) return;
    this.#withdraw(request);
    this.#lastAsk += 1;
    request.asked = { engine, ask: this.#lastAsk };
    const view = views[engine];
    if (view !== undefined) {
      const { asks, askedTokens } = view.report;
      const added = { asks: asks + 1, askedTokens: askedTokens + OWN_TOKENS };
      view.report = { ...view.report, ...added };
    }
    this.#enqueue(request, request.asked, choice);
  }

  #enqueue(
    request: PlayedRequest,
    { engine, ask }: { readonly engine: number; readonly ask: number },
    choice: Choice,
  ): void {
    const { team, objectiveAtMs, prompt } = request.demand;
    const parts = prompt?.parts ?? [];
    const source = this.#engines.find(
      (_, index) => `e${index}` === choice.source?.id,
    );
    // A copy brings only what the source has.
    const copiedTokens = source?.cache.cachedTokens({ parts }) ?? 0;
    this.#engines[engine]?.controller.enqueue(request, {
      ...{ type: "ask", ask, team, cost: 10_200, copiedTokens, elsewhere: 0 },
      parts: parts.map(({ id, tokens }) => [id, tokens]),
      ...{ outputTokens: 100, objectiveMs: OBJECTIVE_MS },
      leftMs: objectiveAtMs - this.#clock.monotonicMs(),
    });
  }

  /** Returns whether the request still waits. */
  #advance(request: PlayedRequest): boolean {
    const nowMs = this.#clock.monotonicMs();
    const { asked, permitted, arrivedAtMs } = request;
    if (asked !== null && permitted !== null) {
      this.#begin(request, asked.engine, permitted);
      return false;
    }
    if (nowMs >= arrivedAtMs + MAX_WAIT_MS) {
      this.#withdraw(request);
      return false;
    }
    if (nowMs >= request.askedAtMs + OTHER_ENGINE_AFTER_MS) this.#ask(request);
    return true;
  }

  #begin(request: PlayedRequest, index: number, tokens: number): void {
    const { arrivedAtMs, demand, router } = request;
    const load = this.#viewsByRouter[router]?.[index]?.load;
    const parts = demand.prompt?.parts ?? [];
    load?.predictedCache.note({ parts }, this.#clock.monotonicMs());
    const { ask = 0 } = request.asked ?? {};
    const run = { receiver: request, ask, parts, tokens };
    const firstTokenMs = this.#engines[index]?.begin(run) ?? 0;
    if (arrivedAtMs <= WARM_AFTER_MS) return;
    this.#tokens += tokens;
    this.#begun += 1;
    if (firstTokenMs - arrivedAtMs <= OBJECTIVE_MS) this.#onTime += 1;
  }

  #withdraw(request: PlayedRequest): void {
    if (request.asked === null) return;
    const { engine, ask } = request.asked;
    this.#engines[engine]?.controller.withdraw(request, ask);
  }
}
