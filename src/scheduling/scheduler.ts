/** Schedules the requests of one router: places, queues or refuses each. */

import type { Clock } from "../common/clock.ts";
import type {
  BackendServer,
  DirectoryChange,
  ServerNotices,
} from "../directory/mod.ts";
import * as fairness from "../fairness/mod.ts";
import type { Engine, RouteTable } from "../routing/mod.ts";
import type { Demand, Prompt } from "./demand.ts";
import type { EngineAdmission, Permit } from "./engine_admission.ts";
import { FairQueue } from "./fair_queue.ts";
import { limitDelayMs } from "./limit_delay.ts";
import { OpenServers } from "./open_servers.ts";
import type { Outcome } from "./outcome.ts";
import { PendingRequest } from "./pending_request.ts";
import {
  type Choice,
  chooseServer,
  isEligible,
  type PlacementContext,
} from "./placement.ts";
import { PrefillRate } from "./prefill_rate.ts";
import * as refusal from "./refusal.ts";
import type { LimitObservation } from "./request_limit.ts";
import type { RequestInFlight } from "./requests_in_flight.ts";
import { ServerLoad } from "./server_load.ts";

/** A server that a request may be sent to now. */
export interface Placement {
  readonly type: "placed";
  readonly server: BackendServer;
  /** Prompt tokens that the server is expected to prefill. */
  readonly uncachedTokens: number;
  /**
   * Server whose KV cache holds the missing prefix, to copy it from; null
   * for none.
   */
  readonly source: BackendServer | null;
  /** Whether the server still takes requests; asked just before sending. */
  isOpen(): boolean;
  /** Call when the first token has arrived. */
  noteFirstToken(): void;
  /**
   * Applies the limit that the response states: requests per second, or null
   * for none. Returns whether that is new to this router.
   */
  noteRequestLimit(requestsPerS: number | null): boolean;
  /** Releases the server's capacity; later calls are ignored. */
  release(outcome: Outcome): void;
}

/** The result of scheduling a request; `left`: its caller has left. */
export type Decision =
  | Placement
  | {
      readonly type: "refused";
      readonly reason: refusal.Reason;
      readonly retryAfterMs: number;
      /** Server whose permit the request waited for; null for none. */
      readonly awaitedServer: string | null;
    }
  | { readonly type: "left" };

type Request = PendingRequest<Decision>;

/** Clock, zone and admission controllers that a scheduler uses. */
export interface SchedulerOptions {
  readonly clock: Clock;
  readonly availabilityZone: string;
  /** What servers have said of themselves. */
  readonly notices: ServerNotices;
  /** Returns the client of a server's admission controller; null for none. */
  readonly admissionOf: (server: BackendServer) => EngineAdmission | null;
  /**
   * Tells other routers of a change of the limit that a server without an
   * admission controller names.
   */
  readonly shareRequestLimit: (
    server: BackendServer,
    observation: LimitObservation,
  ) => void;
}

/** Interval at which waiting requests are checked. */
const CHECK_INTERVAL_MS = 20;
/** Backoff of a server that shed a request. */
const SHED_BACKOFF_MS = 50;
/** Prefill rate per engine if the operators configured no throughput. */
const DEFAULT_PREFILL_TOKENS_PER_MS = 10;
/**
 * Routers that share the servers while no admission controller has reported
 * their number.
 */
const ASSUMED_ROUTERS = 4;
/**
 * Share of its objective after which a request that waits for a permit of one
 * engine may request one of another engine.
 */
const OTHER_ENGINE_AFTER_SHARE = 0.2;

/** Stands for the prompt of a request that doesn't tell it. */
const NO_PROMPT: Prompt = {
  ...{ model: "", parts: [], inputTokens: 0, outputTokens: 0 },
};

/** Decides for each request which server it is sent to, and when. */
export class Scheduler {
  readonly #options: SchedulerOptions;
  readonly #loads = new Map<string, ServerLoad>();
  readonly #openServers: OpenServers;
  readonly #queues = new Map<string, FairQueue<Request>>();
  readonly #prefillRates = new Map<string, PrefillRate>();
  readonly #pending = new Set<Request>();
  #table: RouteTable | null = null;
  #timer: NodeJS.Timeout | null = null;
  /** Monotonic time at which the router closes its connections. */
  #closeAtMs = Number.POSITIVE_INFINITY;
  #closed = false;

  constructor(options: SchedulerOptions) {
    this.#options = options;
    this.#openServers = new OpenServers(this.#loads, options.notices);
  }

  /** Applies a new configuration. */
  configure(table: RouteTable): void {
    this.#table = table;
    for (const [id, { server, engine }] of this.#loads) {
      // The server was announced before its service was configured.
      const isNew = engine === null && table.service(server.service)?.engine;
      if (isNew) this.#loads.set(id, this.#createLoad(server));
    }
  }

  /** Number of waiting requests, queued here or awaiting a permit. */
  get waiting(): number {
    return this.#pending.size;
  }

  /**
   * Number of routers that share the servers: the largest that an admission
   * controller has reported, or `ASSUMED_ROUTERS` before any report.
   */
  get routers(): number {
    let reported = 0;
    for (const { admission } of this.#loads.values())
      reported = Math.max(reported, admission?.report?.routers ?? 0);
    return reported || ASSUMED_ROUTERS;
  }

  /** Number of servers that name a limit on requests. */
  get limitedServers(): number {
    const share = this.#routerShare;
    return [...this.#loads.values()].filter(
      (load) => load.limitedCapacity(share) !== null,
    ).length;
  }

  /** Prefill rate expected of one engine of a service, in tokens/ms. */
  expectedTokensPerMs(service: string): number {
    const tokensPerSecond = this.#table?.limits.tokensPerSecond ?? 0;
    const servers = Math.max(1, this.#loadsOf(service).length);
    return tokensPerSecond / 1_000 / servers || DEFAULT_PREFILL_TOKENS_PER_MS;
  }

  /** Applies a change of the server directory. */
  apply(change: DirectoryChange): void {
    const { server } = change;
    switch (change.type) {
      case "joined":
        this.#loads.set(server.id, this.#createLoad(server));
        break;
      case "changed": {
        const load = this.#loads.get(server.id);
        if (load !== undefined) load.server = server;
        break;
      }
      case "left":
        this.#loads.delete(server.id);
        break;
      default:
        change satisfies never;
    }
    this.#handleClosedServers(server.service);
  }

  /** Applies what a server of the service has said of itself. */
  applyNotice(service: string): void {
    this.#handleClosedServers(service);
  }

  /**
   * Resolves when the request is placed or refused, or when its caller has
   * left.
   *
   * @param callerLeft aborted when the caller leaves
   */
  place(demand: Demand, callerLeft: AbortSignal): Promise<Decision> {
    if (this.#closed) return Promise.resolve(refusedAsStopping(null));
    const nowMs = this.#nowMs;
    const { maxWaitMs, retryAfterMs, reason } = refusal.decideOnArrival(
      demand,
      {
        nowMs,
        servers: this.#countReady(demand),
        pauseMs: this.#pauseMs(demand),
        limitDelayMs: this.#limitDelayMs(demand),
      },
    );
    if (maxWaitMs <= 0) {
      return Promise.resolve({
        ...{ type: "refused", reason, retryAfterMs, awaitedServer: null },
      });
    }
    if (callerLeft.aborted) return Promise.resolve({ type: "left" });
    return new Promise((resolve) => {
      const leave = () => this.#settle(pending, { type: "left" });
      const settle = (decision: Decision) => {
        callerLeft.removeEventListener("abort", leave);
        resolve(decision);
      };
      const pending = new PendingRequest(demand, nowMs + maxWaitMs, { settle });
      callerLeft.addEventListener("abort", leave, { once: true });
      this.#pending.add(pending);
      this.#queueOf(demand.service).add(pending);
      this.#dispatch(demand.service);
      this.#startTimer();
    });
  }

  /**
   * Applies the limit that a server has named to another router; returns
   * whether it is new here. One of an earlier start is ignored.
   */
  noteRequestLimit(
    { id, startedAtMs }: Pick<BackendServer, "id" | "startedAtMs">,
    observation: LimitObservation,
  ): boolean {
    const load = this.#loads.get(id);
    if (load?.server.startedAtMs !== startedAtMs) return false;
    return load.requestLimit.observe(observation);
  }

  /** Places every queued request that a server has capacity for now. */
  dispatchAll(): void {
    for (const service of this.#queues.keys()) this.#dispatch(service);
  }

  /**
   * Retry-After in milliseconds while all ready servers of a service are
   * paused; 0 if one takes requests.
   */
  pauseDelayMs(service: string): number {
    const loads = this.#loadsOf(service).filter(isReady);
    return refusal.pauseDelayMs(this.#openServers.shortestPauseMs(loads));
  }

  /** Refuses requests that wait once they can't be served by `closeAtMs`. */
  drain(closeAtMs: number): void {
    this.#closeAtMs = closeAtMs;
    this.#check();
  }

  /** Whether a shutdown closes connections before a monotonic time. */
  closesBefore(atMs: number): boolean {
    return this.#closeAtMs < atMs;
  }

  /** Refuses all requests that wait or arrive later. */
  close(): void {
    this.#closed = true;
    for (const pending of [...this.#pending]) this.#refuseAsStopping(pending);
    this.#stopTimer();
  }

  get #nowMs(): number {
    return this.#options.clock.monotonicMs();
  }

  /** Part of a server that this router may use without permits. */
  get #routerShare(): number {
    return 1 / this.routers;
  }

  get #placementContext(): PlacementContext {
    const { availabilityZone } = this.#options;
    return { availabilityZone, nowMs: this.#nowMs, share: this.#routerShare };
  }

  #dispatch(service: string): void {
    const queue = this.#queues.get(service);
    if (queue === undefined || queue.size === 0) return;
    const loads = this.#openLoadsOf(service);
    const context = this.#placementContext;
    queue.dispatch((pending) => this.#tryPlace(pending, loads, context));
  }

  /**
   * Sends a request, or requests a permit from the admission controller of the
   * chosen server. Returns whether the request leaves the queue.
   */
  #tryPlace(
    pending: Request,
    loads: readonly ServerLoad[],
    context: PlacementContext,
  ): boolean {
    const choice = chooseServer(pending.demand, loads, context);
    if (choice === null) return false;
    const { admission, needsPermit } = choice.load;
    if (admission !== null && needsPermit)
      this.#requestPermit(pending, choice, admission);
    else this.#send(pending, choice, null);
    return true;
  }

  #requestPermit(
    pending: Request,
    choice: Choice,
    admission: EngineAdmission,
  ): void {
    const { load } = choice;
    const { demand } = pending;
    const prompt = demand.prompt ?? NO_PROMPT;
    const nowMs = this.#nowMs;
    const parameters = {
      ...{ demand, prompt, copiedTokens: choice.copiedTokens },
      elsewhere: this.#usageElsewhere(demand, load),
      leftMs: demand.objectiveAtMs - nowMs,
    };
    const withdraw = admission.requestPermit(parameters, {
      permitted: (permit) => {
        const { uncachedTokens } = permit;
        this.#send(pending, { ...choice, uncachedTokens }, permit);
      },
      disconnected: () => this.#requeue(pending),
    });
    const server = load.id;
    pending.state = {
      type: "awaiting-permit",
      server,
      sinceMs: nowMs,
      withdraw,
    };
  }

  #send(
    pending: Request,
    { load, uncachedTokens, source }: Choice,
    permit: Permit | null,
  ): void {
    const { prompt } = pending.demand;
    const nowMs = this.#nowMs;
    const run = load.begin(prompt, { uncachedTokens, nowMs });
    if (permit === null) load.requestLimit.spend(this.#routerShare);
    let ended = false;
    this.#settle(pending, {
      ...{ type: "placed", server: load.server, uncachedTokens, source },
      isOpen: () => this.#openServers.has(load.server),
      noteFirstToken: () => {
        permit?.begun();
        this.#noteFirstToken(load, run);
      },
      noteRequestLimit: (requestsPerS) => {
        const observation = { requestsPerS, sentAtMs: nowMs };
        const isChanged = load.requestLimit.observe(observation);
        if (load.admission !== null)
          load.admission.noteRequestLimit(load.server, observation);
        else if (isChanged)
          this.#options.shareRequestLimit(load.server, observation);
        return isChanged;
      },
      release: (outcome) => {
        if (ended) return;
        ended = true;
        permit?.finish(outcome);
        this.#noteEnd(load, run, outcome);
      },
    });
  }

  #settle(pending: Request, decision: Decision): void {
    this.#pending.delete(pending);
    this.#queueOf(pending.demand.service).remove(pending);
    pending.settle(decision);
  }

  #requeue(pending: Request): void {
    if (pending.state.type !== "awaiting-permit") return;
    pending.state.withdraw();
    pending.state = { type: "queued" };
    this.#queueOf(pending.demand.service).add(pending);
  }

  /** Moves requests away from servers that take no more, or refuses them. */
  #handleClosedServers(service: string): void {
    for (const pending of [...this.#pending]) {
      const { state, demand } = pending;
      if (demand.service !== service) continue;
      const pauseMs = this.#pauseMs(demand);
      if (pauseMs > 0) this.#refuseAsPaused(pending, pauseMs);
      else if (
        state.type === "awaiting-permit" &&
        !this.#openServers.hasId(state.server)
      )
        this.#requeue(pending);
    }
    this.#dispatch(service);
  }

  /** Time until a server takes the request; 0 if one does now, or none ever. */
  #pauseMs(demand: Demand): number {
    if (this.#openServers.isUnrestricted) return 0;
    const eligible = this.#eligibleLoads(demand);
    // One that was sent to every server may be sent to them as a new request.
    return this.#openServers.shortestPauseMs(
      eligible.length > 0
        ? eligible
        : this.#loadsOf(demand.service).filter(isReady),
    );
  }

  /** Recent usage by a request's team at all engines but one. */
  #usageElsewhere({ team, service }: Demand, { id }: ServerLoad): number {
    let usage = 0;
    for (const [otherId, { server, admission }] of this.#loads)
      if (otherId !== id && server.service === service)
        usage += admission?.usageOf(team) ?? 0;
    return usage;
  }

  /** Recent usage by a team; null if no server has an admission controller. */
  #usageAt(loads: readonly ServerLoad[], team: string): number | null {
    let usage: number | null = null;
    for (const { admission } of loads)
      if (admission !== null) usage = (usage ?? 0) + admission.usageOf(team);
    return usage;
  }

  #noteFirstToken(load: ServerLoad, run: RequestInFlight): void {
    if (run.unreadTokens === 0) return;
    load.prefillRate.addSample(run.backlogTokens, this.#nowMs - run.sentAtMs);
    load.markPrefilled(run);
    this.#dispatch(load.server.service);
  }

  #noteEnd(load: ServerLoad, run: RequestInFlight, outcome: Outcome): void {
    load.end(run);
    const { health } = load;
    switch (outcome) {
      case "served":
      case "failed":
        health.noteOutcome(outcome, this.#nowMs);
        break;
      case "unreachable":
        health.noteUnreachable(this.#nowMs);
        break;
      case "shed":
        health.backOff(this.#nowMs, SHED_BACKOFF_MS);
        break;
      case "neutral":
        break;
      default:
        outcome satisfies never;
    }
    this.#dispatch(load.server.service);
  }

  #startTimer(): void {
    if (this.#timer !== null || this.#pending.size === 0) return;
    this.#timer = setInterval(() => this.#check(), CHECK_INTERVAL_MS);
  }

  #check(): void {
    const nowMs = this.#nowMs;
    for (const pending of [...this.#pending]) {
      const { demand, refuseAtMs } = pending;
      const lastAtMs = refusal.lastPlacementAtMs(demand, this.#closeAtMs);
      if (nowMs >= refuseAtMs) this.#refuse(pending);
      else if (nowMs >= lastAtMs) this.#refuseAsStopping(pending);
      else if (demand.version !== null && this.#countReady(demand) === 0)
        this.#refuseAsGone(pending);
      else this.#tryOtherEngine(pending, nowMs);
    }
    // The backoff of a server may have ended.
    this.dispatchAll();
    if (this.#pending.size === 0) this.#stopTimer();
  }

  #stopTimer(): void {
    if (this.#timer !== null) clearInterval(this.#timer);
    this.#timer = null;
  }

  #refuse(pending: Request): void {
    this.#settle(pending, {
      ...{ type: "refused", reason: "no-room" },
      retryAfterMs: refusal.retryDelayMs(
        pending.demand,
        this.#limitDelayMs(pending.demand),
      ),
      awaitedServer: awaitedServerOf(pending),
    });
  }

  /** Refuses a stream once no server of its version is left. */
  #refuseAsGone(pending: Request): void {
    this.#settle(pending, {
      ...{ type: "refused", reason: "no-server" },
      retryAfterMs: refusal.noServerDelayMs(),
      awaitedServer: awaitedServerOf(pending),
    });
  }

  #refuseAsPaused(pending: Request, pauseMs: number): void {
    this.#settle(pending, {
      ...{ type: "refused", reason: "paused" },
      retryAfterMs: refusal.pauseDelayMs(pauseMs),
      awaitedServer: awaitedServerOf(pending),
    });
  }

  #refuseAsStopping(pending: Request): void {
    this.#settle(pending, refusedAsStopping(awaitedServerOf(pending)));
  }

  /**
   * Requeues a request that has waited too long for a permit of one engine if
   * another engine is now the better choice.
   */
  #tryOtherEngine(pending: Request, nowMs: number): void {
    const { state, demand } = pending;
    if (state.type !== "awaiting-permit") return;
    const waitedMs = nowMs - state.sinceMs;
    if (waitedMs < demand.objectiveMs * OTHER_ENGINE_AFTER_SHARE) return;
    const choice = chooseServer(
      demand,
      this.#openLoadsOf(demand.service),
      this.#placementContext,
    );
    if (choice !== null && choice.load.id !== state.server) {
      this.#requeue(pending);
    } else {
      pending.state = { ...state, sinceMs: nowMs };
    }
  }

  #queueOf(service: string): FairQueue<Request> {
    const known = this.#queues.get(service);
    if (known !== undefined) return known;
    const { clock } = this.#options;
    const recentUsage = new fairness.RecentUsage(clock);
    const queue = new FairQueue<Request>(recentUsage);
    this.#queues.set(service, queue);
    return queue;
  }

  #loadsOf(service: string): ServerLoad[] {
    return [...this.#loads.values()].filter(
      ({ server }) => server.service === service,
    );
  }

  #openLoadsOf(service: string): readonly ServerLoad[] {
    return this.#openServers.withoutPaused(this.#loadsOf(service));
  }

  /** Servers that the request may be sent to. */
  #countReady(demand: Demand): number {
    // Another version may not go on with the stream, now or later.
    if (demand.version !== null) return this.#eligibleLoads(demand).length;
    return this.#loadsOf(demand.service).filter(isReady).length;
  }

  /** Expected wait for limits, if all servers for the request name one. */
  #limitDelayMs(demand: Demand): number {
    const { service } = demand;
    const loads = this.#openServers.withoutPaused(this.#eligibleLoads(demand));
    const queue = this.#queueOf(service);
    return limitDelayMs(demand, {
      ...{ loads, share: this.#routerShare, queued: queue.size },
      waitingTeams: () => this.#waitingTeams(service),
      usageOf: (team) => this.#usageAt(loads, team) ?? queue.usageOf(team),
    });
  }

  /** Teams with requests that wait for a server or a permit. */
  #waitingTeams(service: string): ReadonlySet<string> {
    const teams = new Set<string>();
    for (const { demand } of this.#pending)
      if (demand.service === service) teams.add(demand.team);
    return teams;
  }

  #eligibleLoads(demand: Demand): ServerLoad[] {
    return this.#loadsOf(demand.service).filter((load) =>
      isEligible(load, demand),
    );
  }

  #createLoad(server: BackendServer): ServerLoad {
    const engine = this.#table?.service(server.service)?.engine ?? null;
    const rate = this.#prefillRateOf(server, engine);
    const admission = this.#options.admissionOf(server);
    const { clock } = this.#options;
    return new ServerLoad(server, engine, { clock, rate, admission });
  }

  /** Engines of one service are alike, so they share one estimate. */
  #prefillRateOf(
    { service }: BackendServer,
    engine: Engine | null,
  ): PrefillRate {
    const known = this.#prefillRates.get(service);
    if (known !== undefined) return known;
    const rate = new PrefillRate(this.expectedTokensPerMs(service));
    if (engine !== null) this.#prefillRates.set(service, rate);
    return rate;
  }
}

function isReady({ server }: ServerLoad): boolean {
  return server.state === "ready";
}

function awaitedServerOf({ state }: Request): string | null {
  return state.type === "awaiting-permit" ? state.server : null;
}

function refusedAsStopping(awaitedServer: string | null): Decision {
  const retryAfterMs = refusal.SHORT_RETRY_AFTER_MS;
  return { type: "refused", reason: "stopping", retryAfterMs, awaitedServer };
}
