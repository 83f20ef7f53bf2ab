/** Schedules the requests of one router: places, queues or refuses each. */

import type { Clock } from "../common/clock.ts";
import type { BackendServer, DirectoryChange } from "../directory/mod.ts";
import type { RouteTable } from "../routing/mod.ts";
import type { ColdLoads } from "./cold_loads.ts";
import { type Decision, refused, refusedAsStopping } from "./decision.ts";
import type { Demand, Prompt } from "./demand.ts";
import type { EngineAdmission, Permit } from "./engine_admission.ts";
import { limitDelayMs } from "./limit_delay.ts";
import type { Outcome } from "./outcome.ts";
import { PendingRequest } from "./pending_request.ts";
import { PendingRequests } from "./pending_requests.ts";
import {
  type Choice,
  chooseServer,
  type PlacementContext,
} from "./placement.ts";
import * as refusal from "./refusal.ts";
import type { LimitObservation } from "./request_limit.ts";
import type { RequestInFlight } from "./requests_in_flight.ts";
import type { ServerLoad } from "./server_load.ts";
import {
  ServerLoads,
  type ServerLoadsDependencies,
  usageAt,
} from "./server_loads.ts";

type Request = PendingRequest<Decision>;

/** Clock, zone and admission controllers that a scheduler uses. */
export interface SchedulerOptions extends ServerLoadsDependencies {
  readonly clock: Clock;
  readonly availabilityZone: string;
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
  readonly #loads: ServerLoads;
  readonly #requests: PendingRequests<Decision>;
  #timer: NodeJS.Timeout | null = null;
  /** Monotonic time at which the router closes its connections. */
  #closeAtMs = Number.POSITIVE_INFINITY;
  #closed = false;

  constructor(options: SchedulerOptions) {
    this.#options = options;
    this.#loads = new ServerLoads(options);
    this.#requests = new PendingRequests(options.clock);
  }

  /** Applies a new configuration. */
  configure(table: RouteTable): void {
    this.#loads.configure(table);
  }

  /** Number of waiting requests, queued here or awaiting a permit. */
  get waiting(): number {
    return this.#requests.size;
  }

  /** Number of routers that share the servers, as far as is known. */
  get routers(): number {
    return this.#loads.routers;
  }

  /** What is known of cold servers. */
  get cold(): ColdLoads {
    return this.#loads.cold;
  }

  /** Number of servers that name a limit on requests. */
  get limitedServers(): number {
    return this.#loads.limited;
  }

  /** Prefill rate expected of one engine of a service, in tokens/ms. */
  expectedTokensPerMs(service: string): number {
    return this.#loads.expectedTokensPerMs(service);
  }

  /** Applies a change of the server directory. */
  apply(change: DirectoryChange): void {
    this.#loads.apply(change);
    this.#handleClosedServers(change.server.service);
  }

  /** Moves requests away from servers in emptied zones, or refuses them. */
  applyEvacuations(): void {
    for (const service of this.#requests.services)
      this.#handleClosedServers(service);
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
        absence: this.#loads.absenceFor(demand),
        pauseMs: this.#loads.pauseMs(demand),
        limitDelayMs: this.#limitDelayMs(demand),
      },
    );
    if (maxWaitMs <= 0)
      return Promise.resolve(refused(reason, { retryAfterMs }));
    if (callerLeft.aborted) return Promise.resolve({ type: "left" });
    return new Promise((resolve) => {
      const leave = () => this.#requests.settle(pending, { type: "left" });
      const settle = (decision: Decision) => {
        callerLeft.removeEventListener("abort", leave);
        resolve(decision);
      };
      const pending = new PendingRequest(demand, nowMs + maxWaitMs, { settle });
      callerLeft.addEventListener("abort", leave, { once: true });
      this.#requests.add(pending);
      this.#dispatch(demand.service);
      this.#startTimer();
    });
  }

  /**
   * Applies the limit that a server has named to another router; returns
   * whether it is new here. One of an earlier start is ignored.
   */
  noteRequestLimit(
    start: Pick<BackendServer, "id" | "startedAtMs">,
    observation: LimitObservation,
  ): boolean {
    const load = this.#loads.get(start);
    return load?.requestLimit.observe(observation) ?? false;
  }

  /** Places every queued request that a server has capacity for now. */
  dispatchAll(): void {
    for (const service of this.#requests.services) this.#dispatch(service);
  }

  /**
   * Retry-After in milliseconds while all ready servers of a service are
   * paused; 0 if one takes requests.
   */
  pauseDelayMs(service: string): number {
    return refusal.pauseDelayMs(this.#loads.shortestPauseMs(service));
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
    for (const pending of this.#requests.list())
      this.#refuseAsStopping(pending);
    this.#stopTimer();
  }

  get #nowMs(): number {
    return this.#options.clock.monotonicMs();
  }

  get #placementContext(): PlacementContext {
    const { availabilityZone } = this.#options;
    const share = this.#loads.routerShare;
    return { availabilityZone, nowMs: this.#nowMs, share };
  }

  #dispatch(service: string): void {
    const queue = this.#requests.queueOf(service);
    if (queue.size === 0) return;
    const loads = this.#loads.openOf(service);
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
      elsewhere: this.#loads.usageElsewhere(demand, load),
      leftMs: demand.objectiveAtMs - nowMs,
    };
    const withdraw = admission.requestPermit(parameters, {
      permitted: (permit) => {
        const { uncachedTokens } = permit;
        this.#send(pending, { ...choice, uncachedTokens }, permit);
      },
      disconnected: () => this.#requests.requeue(pending),
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
    if (permit === null) load.spendSlot(this.#loads.routerShare);
    let ended = false;
    this.#requests.settle(pending, {
      ...{ type: "placed", server: load.server, uncachedTokens },
      // Its zone may have been emptied while the request waited for a permit.
      source: source && this.#loads.open.isEvacuated(source) ? null : source,
      isOpen: () => this.#loads.open.has(load.server),
      noteFirstToken: () => {
        permit?.begun();
        this.#noteFirstToken(load, run);
      },
      noteMissedPace: () => permit?.noteMissedPace(),
      noteRequestLimit: (requestsPerS) =>
        this.#noteOwnLimit(load, { requestsPerS, sentAtMs: nowMs }),
      release: (outcome) => {
        if (ended) return;
        ended = true;
        permit?.finish(outcome);
        this.#noteEnd(load, run, outcome);
      },
    });
  }

  /** Applies the limit that a response to this router has named. */
  #noteOwnLimit(load: ServerLoad, observation: LimitObservation): boolean {
    const isChanged = load.requestLimit.observe(observation);
    if (load.admission !== null)
      load.admission.noteRequestLimit(load.server, observation);
    else if (isChanged)
      this.#options.shareRequestLimit(load.server, observation);
    return isChanged;
  }

  /** Moves requests away from servers that take no more, or refuses them. */
  #handleClosedServers(service: string): void {
    for (const pending of this.#requests.list()) {
      const { state, demand } = pending;
      if (demand.service !== service) continue;
      if (this.#refuseWithoutServer(pending)) continue;
      const pauseMs = this.#loads.pauseMs(demand);
      if (pauseMs > 0) this.#refuseAsPaused(pending, pauseMs);
      else if (
        state.type === "awaiting-permit" &&
        !this.#loads.open.hasId(state.server)
      )
        this.#requests.requeue(pending);
    }
    this.#dispatch(service);
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
    if (this.#timer !== null || this.#requests.size === 0) return;
    this.#timer = setInterval(() => this.#check(), CHECK_INTERVAL_MS);
  }

  #check(): void {
    const nowMs = this.#nowMs;
    for (const pending of this.#requests.list()) {
      const { demand, refuseAtMs } = pending;
      const lastAtMs = refusal.lastPlacementAtMs(demand, this.#closeAtMs);
      if (nowMs >= refuseAtMs) this.#refuse(pending);
      else if (nowMs >= lastAtMs) this.#refuseAsStopping(pending);
      // Other requests are refused as soon as their servers change.
      else if (demand.version === null || !this.#refuseWithoutServer(pending))
        this.#tryOtherEngine(pending, nowMs);
    }
    // The backoff of a server may have ended.
    this.dispatchAll();
    if (this.#requests.size === 0) this.#stopTimer();
  }

  #stopTimer(): void {
    if (this.#timer !== null) clearInterval(this.#timer);
    this.#timer = null;
  }

  #refuse(pending: Request): void {
    const { demand } = pending;
    const delayMs = this.#limitDelayMs(demand);
    const retryAfterMs = refusal.retryDelayMs(demand, delayMs);
    this.#settleRefused(pending, "no-room", retryAfterMs);
  }

  /**
   * Refuses a request, and returns true, if no server is left that may get it.
   * Without any ready server it waits for one, unless that has to be of a version.
   */
  #refuseWithoutServer(pending: Request): boolean {
    const { demand } = pending;
    if (!this.#loads.isRestricted(demand)) return false;
    const absence = this.#loads.absenceFor(demand);
    const mayWait = absence === "no-server" && demand.version === null;
    if (absence === null || mayWait) return false;
    const retryAfterMs = refusal.absenceDelayMs(absence);
    this.#settleRefused(pending, absence, retryAfterMs);
    return true;
  }

  #refuseAsPaused(pending: Request, pauseMs: number): void {
    this.#settleRefused(pending, "paused", refusal.pauseDelayMs(pauseMs));
  }

  #settleRefused(
    pending: Request,
    reason: refusal.Reason,
    retryAfterMs: number,
  ): void {
    const awaitedServer = awaitedServerOf(pending);
    const decision = refused(reason, { retryAfterMs, awaitedServer });
    this.#requests.settle(pending, decision);
  }

  #refuseAsStopping(pending: Request): void {
    const decision = refusedAsStopping(awaitedServerOf(pending));
    this.#requests.settle(pending, decision);
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
      this.#loads.openOf(demand.service),
      this.#placementContext,
    );
    if (choice !== null && choice.load.id !== state.server) {
      this.#requests.requeue(pending);
    } else {
      pending.state = { ...state, sinceMs: nowMs };
    }
  }

  /** Expected wait for limits, if all servers for the request name one. */
  #limitDelayMs(demand: Demand): number {
    const { service } = demand;
    const eligible = this.#loads.eligible(demand);
    const loads = this.#loads.open.withoutClosed(eligible);
    const queue = this.#requests.queueOf(service);
    return limitDelayMs(demand, {
      ...{ loads, share: this.#loads.routerShare, queued: queue.size },
      waitingTeams: () => this.#requests.teamsOf(service),
      usageOf: (team) => usageAt(loads, team) ?? queue.usageOf(team),
    });
  }
}

function awaitedServerOf({ state }: Request): string | null {
  return state.type === "awaiting-permit" ? state.server : null;
}
