/** Places, queues and refuses the requests of one router. */

import type { Clock } from "../common/clock.ts";
import type { BackendServer, DirectoryChange } from "../directory/mod.ts";
import * as fairness from "../fairness/mod.ts";
import type { Engine, RouteTable } from "../routing/mod.ts";
import type { Demand } from "./demand.ts";
import type { GateAccess, Permit } from "./gate_access.ts";
import type { Outcome } from "./outcome.ts";
import { Pending } from "./pending.ts";
import { type Choice, choose, type Site } from "./placement.ts";
import { ReadingRate } from "./reading_rate.ts";
import * as refusal from "./refusal.ts";
import type { Run } from "./running_work.ts";
import { ServerLoad } from "./server_load.ts";
import { WaitingLine } from "./waiting_line.ts";

/** A request's place at a server. */
export interface Placement {
  readonly type: "placed";
  readonly server: BackendServer;
  readonly uncachedTokens: number;
  /** From whose cache the server can copy what it lacks; null for none. */
  readonly source: BackendServer | null;
  /** Notes that the first token came. */
  read(): void;
  /** Gives the place back. */
  end(outcome: Outcome): void;
}

/** What becomes of a request. */
export type Decision =
  | Placement
  | {
      readonly type: "refused";
      readonly reason: refusal.Reason;
      readonly retryAfterMs: number;
    }
  | { readonly type: "left" };

type Request = Pending<Decision>;

/** What the scheduler needs to know. */
export interface SchedulerOptions {
  readonly clock: Clock;
  readonly availabilityZone: string;
  /** Returns the authority over a server's engine; null for none. */
  readonly gateOf: (server: BackendServer) => GateAccess | null;
}

/** Time between two looks at requests that wait. */
const CHECK_MS = 20;
/** Rest of a server that had no room. */
const SHED_REST_MS = 50;
/** Tokens a millisecond and engine, where operators state no throughput. */
const DEFAULT_TOKENS_PER_MS = 10;
/** Routers among which servers are shared while the others aren't known. */
const ASSUMED_ROUTERS = 4;
/** Part of its objective after which a request may ask another engine. */
const ASK_AGAIN_SHARE = 0.2;

/** Decides for each request where and when it is sent. */
export class Scheduler {
  readonly #options: SchedulerOptions;
  readonly #loads = new Map<string, ServerLoad>();
  readonly #lines = new Map<string, WaitingLine<Request>>();
  readonly #rates = new Map<string, ReadingRate>();
  readonly #pending = new Set<Request>();
  #table: RouteTable | null = null;
  #timer: NodeJS.Timeout | null = null;

  constructor(options: SchedulerOptions) {
    this.#options = options;
  }

  /** Takes a new configuration. */
  configure(table: RouteTable): void {
    this.#table = table;
    for (const [id, { server, engine }] of this.#loads) {
      // A server that was announced before its service was configured.
      const isNew = engine === null && table.service(server.service)?.engine;
      if (isNew) this.#loads.set(id, this.#createLoad(server));
    }
  }

  /** Number of requests that wait. */
  get waiting(): number {
    return this.#pending.size;
  }

  /** Routers that share the servers, as far as authorities tell. */
  get routers(): number {
    const told = [...this.#loads.values()].map(
      ({ gate }) => gate?.report?.routers ?? 0,
    );
    return Math.max(...told, 0) || ASSUMED_ROUTERS;
  }

  /** Tokens a millisecond that an engine of a service is expected to read. */
  expectedTokensPerMs(service: string): number {
    const tokensPerSecond = this.#table?.limits.tokensPerSecond ?? 0;
    const servers = Math.max(1, this.#loadsOf(service).length);
    return tokensPerSecond / 1_000 / servers || DEFAULT_TOKENS_PER_MS;
  }

  /** Takes what the directory tells. */
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
    this.#leaveUnusable();
    this.#serve(server.service);
  }

  /** Waits for a place, a refusal, or until the caller leaves. */
  place(demand: Demand, left: AbortSignal): Promise<Decision> {
    const nowMs = this.#nowMs;
    const { holdMs, retryAfterMs, reason } = refusal.judge(demand, {
      nowMs,
      servers: this.#count(demand.service),
    });
    if (holdMs <= 0) {
      return Promise.resolve({ type: "refused", reason, retryAfterMs });
    }
    if (left.aborted) return Promise.resolve({ type: "left" });
    return new Promise((resolve) => {
      const leave = () => this.#settle(pending, { type: "left" });
      const settle = (decision: Decision) => {
        left.removeEventListener("abort", leave);
        resolve(decision);
      };
      const pending = new Pending(demand, nowMs + holdMs, { settle });
      left.addEventListener("abort", leave, { once: true });
      this.#pending.add(pending);
      this.#line(demand.service).add(pending);
      this.#serve(demand.service);
      this.#watch();
    });
  }

  /** Places whatever has room now. */
  serveAll(): void {
    for (const service of this.#lines.keys()) this.#serve(service);
  }

  /** Ends the timer. */
  close(): void {
    if (this.#timer !== null) clearInterval(this.#timer);
    this.#timer = null;
  }

  get #nowMs(): number {
    return this.#options.clock.monotonicMs();
  }

  get #site(): Site {
    const { availabilityZone } = this.#options;
    const share = 1 / this.routers;
    return { availabilityZone, nowMs: this.#nowMs, share };
  }

  #serve(service: string): void {
    const line = this.#lines.get(service);
    if (line === undefined || line.size === 0) return;
    const loads = this.#loadsOf(service);
    const site = this.#site;
    line.serve((pending) => this.#tryPlace(pending, loads, site));
  }

  /** Sends or asks for a request; returns whether it leaves the line. */
  #tryPlace(
    pending: Request,
    loads: readonly ServerLoad[],
    site: Site,
  ): boolean {
    const choice = choose(pending.demand, loads, site);
    if (choice === null) return false;
    const { gate } = choice.load;
    if (gate?.connected === true) this.#ask(pending, choice, gate);
    else this.#send(pending, choice, null);
    return true;
  }

  #ask(pending: Request, choice: Choice, gate: GateAccess): void {
    const { load } = choice;
    const { demand } = pending;
    if (demand.prompt === null) return;
    const nowMs = this.#nowMs;
    const question = {
      ...{ demand, prompt: demand.prompt, copiedTokens: choice.copiedTokens },
      elsewhere: this.#serviceElsewhere(demand, load),
      leftMs: demand.objectiveAtMs - nowMs,
    };
    const withdraw = gate.ask(question, {
      permitted: (permit) => {
        const { uncachedTokens } = permit;
        this.#send(pending, { ...choice, uncachedTokens }, permit);
      },
      lost: () => this.#returnToLine(pending),
    });
    const server = load.id;
    pending.stand = { type: "asked", server, sinceMs: nowMs, withdraw };
  }

  #send(
    pending: Request,
    { load, uncachedTokens, source }: Choice,
    permit: Permit | null,
  ): void {
    const { prompt } = pending.demand;
    const nowMs = this.#nowMs;
    const run = load.begin(prompt, { uncachedTokens, nowMs });
    let ended = false;
    this.#settle(pending, {
      ...{ type: "placed", server: load.server, uncachedTokens, source },
      read: () => {
        permit?.begun();
        this.#noteRead(load, run);
      },
      end: (outcome) => {
        if (ended) return;
        ended = true;
        permit?.finish(outcome);
        this.#noteEnd(load, run, outcome);
      },
    });
  }

  #settle(pending: Request, decision: Decision): void {
    this.#pending.delete(pending);
    this.#line(pending.demand.service).remove(pending);
    pending.settle(decision);
  }

  #returnToLine(pending: Request): void {
    if (pending.stand.type !== "asked") return;
    pending.stand.withdraw();
    pending.stand = { type: "line" };
    this.#line(pending.demand.service).add(pending);
  }

  /** Takes questions back from servers that take no work any more. */
  #leaveUnusable(): void {
    for (const pending of this.#pending) {
      if (pending.stand.type !== "asked") continue;
      const load = this.#loads.get(pending.stand.server);
      if (load?.server.state === "ready") continue;
      this.#returnToLine(pending);
    }
  }

  /** Recent service of a request's team at all engines but one. */
  #serviceElsewhere({ team, service }: Demand, { id }: ServerLoad): number {
    return this.#loadsOf(service)
      .filter((load) => load.id !== id)
      .reduce((sum, { gate }) => sum + (gate?.serviceOf(team) ?? 0), 0);
  }

  #noteRead(load: ServerLoad, run: Run): void {
    if (run.unreadTokens === 0) return;
    load.rate.learn(run.aheadTokens, this.#nowMs - run.sentAtMs);
    load.read(run);
    this.#serve(load.server.service);
  }

  #noteEnd(load: ServerLoad, run: Run, outcome: Outcome): void {
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
        health.rest(this.#nowMs, SHED_REST_MS);
        break;
      case "neutral":
        break;
      default:
        outcome satisfies never;
    }
    this.#serve(load.server.service);
  }

  #watch(): void {
    if (this.#timer !== null || this.#pending.size === 0) return;
    this.#timer = setInterval(() => this.#check(), CHECK_MS);
  }

  #check(): void {
    const nowMs = this.#nowMs;
    for (const pending of [...this.#pending]) {
      if (nowMs >= pending.holdUntilMs) this.#refuse(pending);
      else this.#reconsider(pending, nowMs);
    }
    // A server's rest may have ended.
    this.serveAll();
    if (this.#pending.size === 0) this.close();
  }

  #refuse(pending: Request): void {
    const retryAfterMs = refusal.returnAfterMs(pending.demand);
    this.#settle(pending, { type: "refused", reason: "no-room", retryAfterMs });
  }

  /** Asks another engine when the first has kept a request waiting. */
  #reconsider(pending: Request, nowMs: number): void {
    const { stand, demand } = pending;
    if (stand.type !== "asked") return;
    const waitedMs = nowMs - stand.sinceMs;
    if (waitedMs < demand.objectiveMs * ASK_AGAIN_SHARE) return;
    const choice = choose(demand, this.#loadsOf(demand.service), this.#site);
    if (choice !== null && choice.load.id !== stand.server) {
      this.#returnToLine(pending);
    } else {
      pending.stand = { ...stand, sinceMs: nowMs };
    }
  }

  #line(service: string): WaitingLine<Request> {
    const known = this.#lines.get(service);
    if (known !== undefined) return known;
    const { clock } = this.#options;
    const recent = new fairness.RecentService(clock);
    const line = new WaitingLine<Request>(recent);
    this.#lines.set(service, line);
    return line;
  }

  #loadsOf(service: string): ServerLoad[] {
    return [...this.#loads.values()].filter(
      ({ server }) => server.service === service,
    );
  }

  #count(service: string): number {
    return this.#loadsOf(service).filter(
      ({ server }) => server.state === "ready",
    ).length;
  }

  #createLoad(server: BackendServer): ServerLoad {
    const engine = this.#table?.service(server.service)?.engine ?? null;
    const rate = this.#rate(server, engine);
    const gate = this.#options.gateOf(server);
    return new ServerLoad(server, engine, { rate, gate });
  }

  /** One estimate for all engines of a service: they are alike. */
  #rate({ service }: BackendServer, engine: Engine | null): ReadingRate {
    const known = this.#rates.get(service);
    if (known !== undefined) return known;
    const rate = new ReadingRate(this.expectedTokensPerMs(service));
    if (engine !== null) this.#rates.set(service, rate);
    return rate;
  }
}
