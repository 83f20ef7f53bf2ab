/**
 * Admission control for one engine.
 *
 * Many routers, which don't know of each other's requests, may together send
 * more than the engine can serve. The engine runs requests in order of
 * arrival, so its own queue is kept short and requests wait here instead: the
 * team with the least recent usage over all servers goes first.
 */

import type { Clock } from "../common/clock.ts";
import { type BusyPart, PartDemand, PrefillPace } from "../cost/mod.ts";
import { ServerNotices } from "../directory/mod.ts";
import { RecentUsage, TeamTally } from "../fairness/mod.ts";
import type {
  ColdPace,
  EngineConfiguration,
  PermitOutcome,
  PermitRequest,
  RequestLimitNotice,
  RunningRequest,
} from "../protocol/mod.ts";
import {
  engineCapacity,
  PredictedCache,
  PrefillRate,
  type PromptPart,
  type RequestInFlight,
  RequestLimit,
  RequestsInFlight,
  ServerHealth,
  SMALLEST_SAMPLE_TOKENS,
  type work,
} from "../scheduling/mod.ts";
import {
  AdmissionQueue,
  type PermitReceiver,
  type QueuedRequest,
} from "./admission_queue.ts";
import { type ColdBounds, ColdGuard } from "./cold_guard.ts";
import { classifyEngine, type EngineState } from "./engine_state.ts";
import { TokenBucket } from "./token_bucket.ts";

/**
 * While a smaller share of its slots is in use and no prefill is pending, an
 * engine takes prompts though the token bucket is overdrawn: few streams run
 * that prefill would slow down.
 */
const LIGHT_LOAD_SLOT_SHARE = 0.25;

/**
 * Time added to the expected prefill time before an engine counts as slow:
 * engines prefill in steps, interleaved with the running streams.
 */
const PREFILL_ALLOWANCE_MS = 300;

/** What a controller has learned of its engine, and what followed from it. */
export interface LearnedCost {
  /** Learned prefill rate. */
  readonly tokensPerMs: number;
  /** Parts of prompts that take much of the engine. */
  readonly busyParts: readonly BusyPart[];
  /** Shortest pause that a running stream's route accepts; null for none. */
  readonly shortestGapMs: number | null;
  /** Stretch of prefill that is admitted at once, as a share of that pause. */
  readonly stretchShare: number;
  /** Stretches of prefill after which prompts waited for running streams. */
  readonly heldBack: number;
}

/** What the controller needs of a request that runs. */
type PermittedRequest = Pick<
  PermitRequest,
  "ask" | "parts" | "outputTokens" | "eventGapMs"
>;

/** Running and queued work of one engine; its fields are sent to routers. */
export interface EngineLoad extends work.Work {
  /** Queued requests. */
  readonly asks: number;
  /** Uncached prompt tokens of the queued requests. */
  readonly askedTokens: number;
  /** Prefill rate, lowered while a prefill is overdue. */
  readonly tokensPerMs: number;
  /** Share of recent requests that the engine failed, 0 to 1. */
  readonly failureShare: number;
  /** Limit on requests per second that the engine names; null for none. */
  readonly requestsPerS: number | null;
  /** Requests that the limit allows at once; 0 without a limit. */
  readonly freeSlots: number;
  /** Absent unless the engine is cold or requests are held back for that. */
  readonly coldPace?: ColdPace;
  /** Time after which an unused part of a prompt is evicted; null if none was. */
  readonly cacheLifetimeMs: number | null;
  /** Parts of prompts that take much of the engine; absent if none does. */
  readonly busyParts?: readonly BusyPart[];
}

/**
 * Queues requests for one engine and issues permits in fair order.
 *
 * Settings and log events call it a gate (`gatePort`, `gate-connected`).
 */
export class AdmissionController {
  /** Recent usage by each team at this engine, in prompt tokens. */
  readonly recentUsage: RecentUsage;
  /** Requests that were permitted or withdrawn. */
  readonly teamTally = new TeamTally();
  /** Bounds permits while the engine is or may be cold. */
  readonly coldGuard: ColdGuard;
  readonly #clock: Clock;
  readonly #notices: ServerNotices;
  readonly #zone: { isEmptied(): boolean };
  readonly #queue = new AdmissionQueue();
  readonly #runsByRouter = new Map<
    PermitReceiver,
    Map<number, RequestInFlight>
  >();
  #configuration: EngineConfiguration | null = null;
  #predictedCache = new PredictedCache(0);
  /** Parts given to `addCachedParts` before the first configuration came. */
  #listedParts: readonly PromptPart[] = [];
  #prefillRate = new PrefillRate(0);
  readonly #inFlight = new RequestsInFlight();
  #health = new ServerHealth();
  readonly #tokenBucket: TokenBucket;
  readonly #partDemand: PartDemand;
  #prefillPace = new PrefillPace();
  #requestLimit: RequestLimit;

  /**
   * @param notices what servers have said of themselves
   * @param options.zone whether the engine's zone is emptied
   * @param options.coldBounds what a cold engine may get in a second; null for
   *   no bound
   */
  constructor(
    clock: Clock,
    notices = new ServerNotices(clock),
    {
      zone = { isEmptied: () => false },
      coldBounds = null,
    }: {
      readonly zone?: { isEmptied(): boolean };
      readonly coldBounds?: ColdBounds | null;
    } = {},
  ) {
    this.#clock = clock;
    this.#notices = notices;
    this.#zone = zone;
    this.coldGuard = new ColdGuard(clock, coldBounds);
    this.#tokenBucket = new TokenBucket(clock);
    this.#partDemand = new PartDemand(clock);
    this.#requestLimit = new RequestLimit(clock);
    this.recentUsage = new RecentUsage(clock);
  }

  /** Running and queued work of all routers. */
  get load(): EngineLoad {
    const tokensPerMs = this.#currentTokensPerMs;
    let askedTokens = 0;
    for (const { request } of this.#queue)
      askedTokens += this.#countUncachedTokens(request);
    const failureShare = this.#health.failureShare(this.#clock.monotonicMs());
    const { busyParts } = this.#partDemand;
    return {
      ...this.#inFlight.work,
      ...{ asks: this.#queue.size, askedTokens, tokensPerMs, failureShare },
      ...this.#pacing,
      cacheLifetimeMs: this.#predictedCache.lifetimeMs,
      ...(busyParts.length > 0 ? { busyParts } : {}),
    };
  }

  /** The limits in force, and the requests that they allow at once. */
  get #pacing(): Pick<EngineLoad, "requestsPerS" | "freeSlots" | "coldPace"> {
    const { requestsPerS } = this.#requestLimit;
    const coldPace = this.coldGuard.pace(this.hasQueued);
    const named = this.#requestLimit.freeSlots(1);
    if (coldPace === undefined) return { requestsPerS, freeSlots: named };
    const paced = this.coldGuard.freeSlots ?? 0;
    const freeSlots = requestsPerS === null ? paced : Math.min(named, paced);
    return { requestsPerS, freeSlots, coldPace };
  }

  /** Whether requests wait for permits. */
  get hasQueued(): boolean {
    return this.#queue.size > 0;
  }

  /** Condition of the engine, judged by the outcome and speed of requests. */
  get engineState(): EngineState {
    return classifyEngine({
      failureShare: this.#health.failureShare(this.#clock.monotonicMs()),
      learnedTokensPerMs: this.#prefillRate.tokensPerMs,
      currentTokensPerMs: this.#currentTokensPerMs,
    });
  }

  /** What was learned of the engine since the last call, for the log. */
  takeLearned(): LearnedCost {
    return {
      tokensPerMs: this.#prefillRate.tokensPerMs,
      busyParts: this.#partDemand.busyParts,
      shortestGapMs: this.#prefillPace.shortestGapMs,
      stretchShare: this.#prefillPace.stretchShare,
      heldBack: this.#prefillPace.takeHeldBack(),
    };
  }

  /**
   * Applies the engine's configuration as sent by a router. One that is older
   * than the current one is ignored.
   */
  configure(configuration: EngineConfiguration): void {
    const previous = this.#configuration;
    if (previous !== null && isOlder(configuration, previous)) return;
    this.#configuration = configuration;
    this.coldGuard.configure(configuration.coldTerms);
    if (previous !== null && !isSameServerStart(configuration, previous))
      this.coldGuard.noteStart("engine-started");
    // A restarted server has an empty cache.
    if (previous === null || !isSameServerStart(configuration, previous)) {
      this.#predictedCache = new PredictedCache(configuration.cacheTokens);
      this.#noteCached({ parts: this.#listedParts });
      this.#health = new ServerHealth();
      this.#requestLimit = new RequestLimit(this.#clock);
      this.#prefillPace = new PrefillPace();
      this.#listedParts = [];
    }
    if (previous === null)
      this.#prefillRate = new PrefillRate(configuration.tokensPerMs);
    this.#tokenBucket.setRate(this.#prefillRate.tokensPerMs);
    this.admitQueued();
  }

  /**
   * Adds prompt parts that the engine has in its cache already, for instance
   * because it started before this process.
   */
  addCachedParts(parts: readonly PromptPart[]): void {
    if (this.#configuration === null) this.#listedParts = parts;
    else this.#noteCached({ parts });
    this.admitQueued();
  }

  /** Whether a limit is that of the engine's server, as it runs now. */
  isFor(notice: RequestLimitNotice): boolean {
    const configuration = this.#configuration;
    return configuration !== null && isSameServerStart(configuration, notice);
  }

  /** Applies the limit that the engine names; returns whether it changed. */
  noteRequestLimit({ requestsPerS, ageMs }: RequestLimitNotice): boolean {
    const sentAtMs = this.#clock.monotonicMs() - ageMs;
    const isChanged = this.#requestLimit.observe({ requestsPerS, sentAtMs });
    if (isChanged) this.admitQueued();
    return isChanged;
  }

  /** Queues a request until the engine has capacity for it. */
  enqueue(router: PermitReceiver, request: PermitRequest): void {
    const dueAtMs = this.#clock.monotonicMs() + request.leftMs;
    this.#queue.add({ router, request, dueAtMs });
    this.admitQueued();
  }

  /**
   * Adds a request that was sent to the engine before its router connected.
   * Before its first token, all parts but the last are assumed to be cached.
   */
  addRunning(router: PermitReceiver, running: RunningRequest): void {
    const uncachedTokens = running.begun ? 0 : lastPartTokens(running.parts);
    this.#startRun(router, running, uncachedTokens);
  }

  /** Removes a request from the queue. */
  withdraw(router: PermitReceiver, ask: number): void {
    this.#queue.removeWhere((queued) => {
      const matches = queued.router === router && queued.request.ask === ask;
      if (matches) this.#count(queued, "withdrawn");
      return matches;
    });
    this.admitQueued();
  }

  /** Records that prefill of a request has ended, and learns its rate. */
  markPrefilled(router: PermitReceiver, ask: number): void {
    const run = this.#runsByRouter.get(router)?.get(ask);
    if (run === undefined || run.unreadTokens === 0) return;
    this.#prefillRate.addSample(
      run.backlogTokens,
      this.#clock.monotonicMs() - run.sentAtMs,
    );
    this.#tokenBucket.setRate(this.#prefillRate.tokensPerMs);
    this.#inFlight.markPrefilled(run);
    this.#noteStream(run);
    this.admitQueued();
  }

  /** Records that a stream has paused for longer than is on time. */
  noteMissedPace(router: PermitReceiver, ask: number): void {
    const run = this.#runsByRouter.get(router)?.get(ask);
    if (run !== undefined) this.#prefillPace.noteMissed(run);
  }

  /**
   * Releases the capacity that an ended request took. Any outcome but
   * "neutral" counts for the engine's failure share.
   */
  finish(router: PermitReceiver, ask: number, outcome: PermitOutcome): void {
    const runs = this.#runsByRouter.get(router);
    const run = runs?.get(ask);
    if (run === undefined) return;
    if (outcome !== "neutral") {
      this.#health.noteOutcome(outcome, this.#clock.monotonicMs());
    }
    if (outcome === "served") this.#prefillPace.noteServed(run);
    runs?.delete(ask);
    this.#endRun(run);
    this.admitQueued();
  }

  /** Drops the queued and running requests of a router that disconnected. */
  removeRouter(router: PermitReceiver): void {
    this.#queue.removeWhere((queued) => queued.router === router);
    for (const run of this.#runsByRouter.get(router)?.values() ?? []) {
      this.#endRun(run);
    }
    this.#runsByRouter.delete(router);
    this.admitQueued();
  }

  /**
   * Issues permits while the engine has capacity. Call it regularly while
   * requests are queued, because the token bucket refills with time alone.
   */
  admitQueued(): void {
    for (;;) {
      const next = this.#queue.next({
        nowMs: this.#clock.monotonicMs(),
        recentUsageOf: (team) => this.recentUsage.of(team),
      });
      if (next === null) return;
      const uncachedTokens = this.#countUncachedTokens(next.request);
      if (!this.#hasCapacity(next.request, uncachedTokens)) return;
      this.#queue.remove(next);
      this.recentUsage.add(next.request.team, next.request.cost);
      this.#count(next, "permitted");
      this.#tokenBucket.spend(uncachedTokens);
      this.#prefillPace.addPrompt(uncachedTokens);
      this.#requestLimit.spend(1);
      this.coldGuard.spend();
      this.#noteDemand(next.request);
      this.#startRun(next.router, next.request, uncachedTokens);
      next.router.permit(next.request.ask, uncachedTokens);
    }
  }

  #count(
    { request, dueAtMs }: QueuedRequest,
    outcome: "permitted" | "withdrawn",
  ): void {
    const isLate = this.#clock.monotonicMs() >= dueAtMs;
    const field = isLate ? `${outcome}Late` : outcome;
    this.teamTally.add(request.team, field, request.cost);
  }

  #hasCapacity(request: PermitRequest, uncachedTokens: number): boolean {
    if (this.#configuration === null) return false;
    if (this.#zone.isEmptied()) return false;
    const { server, startedAtMs } = this.#configuration;
    if (this.#notices.isClosed({ id: server, startedAtMs })) return false;
    if (this.#requestLimit.delayMs(1) > 0) return false;
    if (!this.coldGuard.allows(request)) return false;
    // The pace of streams bounds prefill by what it does to them.
    const isPaced = this.#prefillPace.shortestGapMs !== null;
    if (
      !isPaced &&
      !this.#tokenBucket.hasTokens &&
      !this.#isLightlyLoaded(this.#configuration)
    )
      return false;
    if (!this.#prefillPace.allows(uncachedTokens, this.#currentTokensPerMs))
      return false;
    const { slots, cacheTokens } = this.#configuration;
    const addedLoad = {
      uncachedTokens,
      privateTokens: lastPartTokens(request.parts) + request.outputTokens,
      objectiveMs: request.objectiveMs,
    };
    const engine = {
      slots,
      cacheTokens,
      tokensPerMs: this.#prefillRate.tokensPerMs,
    };
    return engineCapacity.hasCapacity(this.#inFlight.work, addedLoad, {
      engine,
      share: 1,
    });
  }

  /**
   * The learned prefill rate or, when that is lower, the rate that follows
   * from how long the oldest request has been waiting for its first token.
   */
  get #currentTokensPerMs(): number {
    const { tokensPerMs } = this.#prefillRate;
    const oldest = this.#inFlight.oldestInPrefill;
    if (oldest === null) return tokensPerMs;
    const waitedMs = this.#clock.monotonicMs() - oldest.sentAtMs;
    const tokens = Math.max(oldest.backlogTokens, SMALLEST_SAMPLE_TOKENS);
    return Math.min(
      tokensPerMs,
      tokens / Math.max(1, waitedMs - PREFILL_ALLOWANCE_MS),
    );
  }

  /** Whether no prefill is pending and few streams run beside the next one. */
  #isLightlyLoaded({ slots }: EngineConfiguration): boolean {
    const { runs, unreadTokens } = this.#inFlight.work;
    return unreadTokens === 0 && runs < slots * LIGHT_LOAD_SLOT_SHARE;
  }

  #startRun(
    router: PermitReceiver,
    request: PermittedRequest,
    uncachedTokens: number,
  ): void {
    const { ask, parts, outputTokens, eventGapMs } = request;
    const privateTokens = lastPartTokens(parts) + outputTokens;
    const run = this.#inFlight.begin(
      { uncachedTokens, privateTokens, eventGapMs },
      this.#clock.monotonicMs(),
    );
    if (uncachedTokens === 0) this.#noteStream(run);
    const runs =
      this.#runsByRouter.get(router) ?? new Map<number, RequestInFlight>();
    runs.set(ask, run);
    this.#runsByRouter.set(router, runs);
    this.#noteCached(toPrompt(parts));
  }

  /** Prefill of the shared parts isn't counted: each owner does it once. */
  #noteDemand({ parts }: PermitRequest): void {
    const lastShared = parts.at(-2);
    const { tokensPerMs } = this.#prefillRate;
    if (lastShared === undefined || tokensPerMs <= 0) return;
    this.#partDemand.note(lastShared[0], lastPartTokens(parts) / tokensPerMs);
  }

  /** Its prompt is prefilled: from now on it generates tokens. */
  #noteStream(run: RequestInFlight): void {
    if (run.eventGapMs !== null)
      this.#prefillPace.addStream(run, run.eventGapMs);
    this.#noteStretchEnd();
  }

  #endRun(run: RequestInFlight): void {
    this.#inFlight.end(run);
    this.#prefillPace.remove(run);
    this.#noteStretchEnd();
  }

  #noteStretchEnd(): void {
    if (this.#inFlight.work.unreadTokens === 0) this.#prefillPace.endStretch();
  }

  #noteCached(prompt: { readonly parts: readonly PromptPart[] }): void {
    this.#predictedCache.note(prompt, this.#clock.monotonicMs());
  }

  #countUncachedTokens({ parts, copiedTokens }: PermitRequest): number {
    const total = parts.reduce((sum, [, tokens]) => sum + tokens, 0);
    const cachedTokens = this.#predictedCache.cachedTokens(toPrompt(parts));
    return Math.max(0, total - Math.max(cachedTokens, copiedTokens));
  }
}

function isOlder(
  next: EngineConfiguration,
  current: EngineConfiguration,
): boolean {
  if (next.startedAtMs !== current.startedAtMs) {
    return next.startedAtMs < current.startedAtMs;
  }
  return next.version < current.version;
}

function isSameServerStart(
  a: Pick<EngineConfiguration, "server" | "startedAtMs">,
  b: Pick<EngineConfiguration, "server" | "startedAtMs">,
): boolean {
  return a.server === b.server && a.startedAtMs === b.startedAtMs;
}

function toPrompt(parts: PermitRequest["parts"]) {
  return { parts: parts.map(([id, tokens]) => ({ id, tokens })) };
}

/** Tokens of the last part; no other request is expected to share it. */
function lastPartTokens(parts: PermitRequest["parts"]): number {
  return parts.at(-1)?.[1] ?? 0;
}
