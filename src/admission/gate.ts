/**
 * Decides which requests one engine takes, and in which order.
 *
 * Answers a load beyond what the engine produces, sent by many routers that
 * don't know of each other's requests. An engine admits in order of arrival,
 * so its own queue is kept short and requests wait here: the team with the
 * least recent service over all servers goes first.
 */

import type { Clock } from "../common/clock.ts";
import { RecentService } from "../fairness/mod.ts";
import type { Ask, EngineTerms, Held, PermitOutcome } from "../protocol/mod.ts";
import {
  engineRoom,
  PromptMemory,
  type PromptPart,
  ReadingRate,
  type Run,
  RunningWork,
  ServerHealth,
  SMALLEST_SAMPLE_TOKENS,
  type work,
} from "../scheduling/mod.ts";
import { AskLines, type Router } from "./ask_lines.ts";
import { type EngineState, stateOf } from "./engine_state.ts";
import { TokenBudget } from "./token_budget.ts";

/**
 * Part of an engine's slots below which it reads as fast as it can: few
 * streams run that reading would slow down.
 */
const FEW_RUNS_SHARE = 0.25;

/**
 * Time that a prompt may take beyond reading: engines read in steps, beside
 * the streams that run. What takes longer tells of an engine that is slow.
 */
const SLACK_MS = 300;

/** What the gate has to do. */
export interface GateLoad extends work.Work {
  readonly asks: number;
  readonly askedTokens: number;
  readonly tokensPerMs: number;
  /** Share of recent requests that the engine failed, 0 to 1. */
  readonly failureShare: number;
}

/** Authority over one engine. */
export class Gate {
  /** Service of each team at this engine. */
  readonly service: RecentService;
  readonly #clock: Clock;
  readonly #lines = new AskLines();
  readonly #running = new Map<Router, Map<number, Run>>();
  #terms: EngineTerms | null = null;
  #memory = new PromptMemory(0);
  /** Parts that the engine was found to keep, until its cache is known. */
  #found: readonly PromptPart[] = [];
  #rate = new ReadingRate(0);
  readonly #work = new RunningWork();
  #health = new ServerHealth();
  readonly #budget: TokenBudget;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#budget = new TokenBudget(clock);
    this.service = new RecentService(clock);
  }

  /** What there is to do, for all routers. */
  get load(): GateLoad {
    const tokensPerMs = this.#presentRate;
    let askedTokens = 0;
    for (const { ask } of this.#lines) askedTokens += this.#uncached(ask);
    const failureShare = this.#health.failureShare(this.#clock.monotonicMs());
    const asked = { asks: this.#lines.size, askedTokens };
    return { ...this.#work.work, ...asked, tokensPerMs, failureShare };
  }

  /** How the engine does, as far as requests tell. */
  get engineState(): EngineState {
    return stateOf({
      failureShare: this.#health.failureShare(this.#clock.monotonicMs()),
      usualTokensPerMs: this.#rate.tokensPerMs,
      presentTokensPerMs: this.#presentRate,
    });
  }

  /** Takes what a router knows of the engine; older news is ignored. */
  configure(terms: EngineTerms): void {
    const before = this.#terms;
    if (before !== null && isOlder(terms, before)) return;
    this.#terms = terms;
    // A server that started anew has nothing in its cache.
    if (before === null || !isSameStart(terms, before)) {
      this.#memory = new PromptMemory(terms.cacheTokens);
      this.#memory.note({ parts: this.#found });
      this.#health = new ServerHealth();
      this.#found = [];
    }
    if (before === null) this.#rate = new ReadingRate(terms.tokensPerMs);
    this.#budget.setRate(this.#rate.tokensPerMs);
    this.serve();
  }

  /** Takes what the engine keeps already, as when this process started. */
  noteCached(parts: readonly PromptPart[]): void {
    if (this.#terms === null) this.#found = parts;
    else this.#memory.note({ parts });
    this.serve();
  }

  /** Takes a request that wants to run. */
  ask(router: Router, ask: Ask): void {
    const objectiveAtMs = this.#clock.monotonicMs() + ask.leftMs;
    this.#lines.add({ router, ask, objectiveAtMs });
    this.serve();
  }

  /** Takes a request that runs already. */
  hold(router: Router, held: Held): void {
    const uncachedTokens = held.begun ? 0 : ownTokens(held.parts);
    this.#begin(router, held, uncachedTokens);
  }

  /** Forgets a request that wants to run no more. */
  withdraw(router: Router, ask: number): void {
    this.#lines.removeWhere(
      (one) => one.router === router && one.ask.ask === ask,
    );
    this.serve();
  }

  /** Notes that a request's prompt has been read. */
  begun(router: Router, ask: number): void {
    const run = this.#running.get(router)?.get(ask);
    if (run === undefined || run.unreadTokens === 0) return;
    this.#rate.learn(run.aheadTokens, this.#clock.monotonicMs() - run.sentAtMs);
    this.#budget.setRate(this.#rate.tokensPerMs);
    this.#work.read(run);
    this.serve();
  }

  /** Notes that a request has ended. */
  finish(router: Router, ask: number, outcome: PermitOutcome): void {
    const runs = this.#running.get(router);
    const run = runs?.get(ask);
    if (run === undefined) return;
    if (outcome !== "neutral") {
      this.#health.noteOutcome(outcome, this.#clock.monotonicMs());
    }
    runs?.delete(ask);
    this.#work.end(run);
    this.serve();
  }

  /** Forgets a router that has gone, with all that it had. */
  drop(router: Router): void {
    this.#lines.removeWhere((one) => one.router === router);
    for (const run of this.#running.get(router)?.values() ?? []) {
      this.#work.end(run);
    }
    this.#running.delete(router);
    this.serve();
  }

  /** Permits what has room now; call it from time to time. */
  serve(): void {
    for (;;) {
      const next = this.#lines.next({
        nowMs: this.#clock.monotonicMs(),
        serviceOf: (team) => this.service.of(team),
      });
      if (next === null) return;
      const uncachedTokens = this.#uncached(next.ask);
      if (!this.#hasRoom(next.ask, uncachedTokens)) return;
      this.#lines.remove(next);
      this.service.add(next.ask.team, next.ask.cost);
      this.#budget.take(uncachedTokens);
      this.#begin(next.router, next.ask, uncachedTokens);
      next.router.permit(next.ask.ask, uncachedTokens);
    }
  }

  #hasRoom(ask: Ask, uncachedTokens: number): boolean {
    if (this.#terms === null) return false;
    if (!this.#budget.isOpen && !this.#isIdle(this.#terms)) return false;
    const { slots, cacheTokens } = this.#terms;
    const addition = {
      uncachedTokens,
      privateTokens: ownTokens(ask.parts) + ask.outputTokens,
      objectiveMs: ask.objectiveMs,
    };
    const engine = { slots, cacheTokens, tokensPerMs: this.#rate.tokensPerMs };
    return engineRoom.hasRoom(this.#work.work, addition, { engine, share: 1 });
  }

  /** What is learned, less while a prompt takes longer than it should. */
  get #presentRate(): number {
    const { tokensPerMs } = this.#rate;
    const oldest = this.#work.oldestUnread;
    if (oldest === null) return tokensPerMs;
    const waitedMs = this.#clock.monotonicMs() - oldest.sentAtMs;
    const tokens = Math.max(oldest.aheadTokens, SMALLEST_SAMPLE_TOKENS);
    return Math.min(tokensPerMs, tokens / Math.max(1, waitedMs - SLACK_MS));
  }

  /** Nothing is left to read, and few streams would wait for it. */
  #isIdle({ slots }: EngineTerms): boolean {
    const { runs, unreadTokens } = this.#work.work;
    return unreadTokens === 0 && runs < slots * FEW_RUNS_SHARE;
  }

  #begin(
    router: Router,
    request: Pick<Ask, "ask" | "parts" | "outputTokens">,
    uncachedTokens: number,
  ): void {
    const { ask, parts, outputTokens } = request;
    const privateTokens = ownTokens(parts) + outputTokens;
    const run = this.#work.begin(
      { uncachedTokens, privateTokens },
      this.#clock.monotonicMs(),
    );
    const runs = this.#running.get(router) ?? new Map<number, Run>();
    runs.set(ask, run);
    this.#running.set(router, runs);
    this.#memory.note(partsOf(parts));
  }

  #uncached({ parts, copiedTokens }: Ask): number {
    const total = parts.reduce((sum, [, tokens]) => sum + tokens, 0);
    const cachedTokens = this.#memory.cachedTokens(partsOf(parts));
    return total - Math.max(cachedTokens, copiedTokens);
  }
}

function isOlder(terms: EngineTerms, before: EngineTerms): boolean {
  if (terms.startedAtMs !== before.startedAtMs) {
    return terms.startedAtMs < before.startedAtMs;
  }
  return terms.version < before.version;
}

function isSameStart(a: EngineTerms, b: EngineTerms): boolean {
  return a.server === b.server && a.startedAtMs === b.startedAtMs;
}

function partsOf(parts: Ask["parts"]) {
  return { parts: parts.map(([id, tokens]) => ({ id, tokens })) };
}

function ownTokens(parts: Ask["parts"]): number {
  return parts.at(-1)?.[1] ?? 0;
}
