/** The servers that one router knows, with the load and health of each. */

import type { Clock } from "../common/clock.ts";
import {
  type BackendServer,
  type DirectoryChange,
  type ServerNotices,
  ZoneEvacuations,
} from "../directory/mod.ts";
import type { Engine, RouteTable } from "../routing/mod.ts";
import { ColdLoads } from "./cold_loads.ts";
import type { Demand } from "./demand.ts";
import type { EngineAdmission } from "./engine_admission.ts";
import { OpenServers } from "./open_servers.ts";
import { isEligible } from "./placement.ts";
import { PrefillRate } from "./prefill_rate.ts";
import type * as refusal from "./refusal.ts";
import { ServerLoad } from "./server_load.ts";

/** Prefill rate per engine if the operators configured no throughput. */
const DEFAULT_PREFILL_TOKENS_PER_MS = 10;
/**
 * Routers that share the servers while no admission controller has reported
 * their number.
 */
const ASSUMED_ROUTERS = 4;
const NO_SERVERS: ReadonlySet<string> = new Set();

/** Dependencies of `ServerLoads`. */
export interface ServerLoadsDependencies {
  readonly clock: Clock;
  /** What servers have said of themselves. */
  readonly notices: ServerNotices;
  /** Which zones are emptied; none if it is left out. */
  readonly evacuations?: ZoneEvacuations;
  /** Returns the client of a server's admission controller; null for none. */
  readonly admissionOf: (server: BackendServer) => EngineAdmission | null;
}

/** Load of each known server, by id. */
export class ServerLoads {
  /** The servers that take requests now. */
  readonly open: OpenServers;
  /** The servers that may be cold. */
  readonly cold: ColdLoads;
  readonly #deps: ServerLoadsDependencies;
  readonly #loads = new Map<string, ServerLoad>();
  readonly #prefillRates = new Map<string, PrefillRate>();
  #table: RouteTable | null = null;

  constructor(deps: ServerLoadsDependencies) {
    this.#deps = deps;
    const { notices, evacuations = new ZoneEvacuations(deps.clock) } = deps;
    this.open = new OpenServers(this.#loads, { notices, evacuations });
    this.cold = new ColdLoads(deps.clock, {
      loads: this.#loads,
      coldStartOf: (service) =>
        this.#table?.service(service)?.coldStart ?? null,
    });
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

  /** Applies a change of the server directory. */
  apply(change: DirectoryChange): void {
    const { server } = change;
    this.cold.apply(change);
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
  }

  /** Returns the load of a server as it has started; null if it isn't known. */
  get({
    id,
    startedAtMs,
  }: Pick<BackendServer, "id" | "startedAtMs">): ServerLoad | null {
    const load = this.#loads.get(id);
    return load?.server.startedAtMs === startedAtMs ? load : null;
  }

  /**
   * Number of routers that share the servers: the largest that an admission
   * controller has reported, or `ASSUMED_ROUTERS` before any report.
   */
  get routers(): number {
    let reported = 0;
    for (const { admission } of this.#loads.values())
      reported = Math.max(reported, admission?.report?.routers ?? 0);
    this.cold.noteRouters(reported);
    return reported || ASSUMED_ROUTERS;
  }

  /** Part of a server that this router may use without permits, 0 to 1. */
  get routerShare(): number {
    return 1 / this.routers;
  }

  /** Number of servers that name a limit on requests. */
  get limited(): number {
    const share = this.routerShare;
    return [...this.#loads.values()].filter(
      (load) => load.limitedCapacity(share) !== null,
    ).length;
  }

  /** Prefill rate expected of one engine of a service, in tokens/ms. */
  expectedTokensPerMs(service: string): number {
    const tokensPerSecond = this.#table?.limits.tokensPerSecond ?? 0;
    const servers = Math.max(1, this.of(service).length);
    return tokensPerSecond / 1_000 / servers || DEFAULT_PREFILL_TOKENS_PER_MS;
  }

  /** The servers of a service. */
  of(service: string): ServerLoad[] {
    return [...this.#loads.values()].filter(
      ({ server }) => server.service === service,
    );
  }

  /** The servers of a service that aren't paused or in an emptied zone. */
  openOf(service: string): readonly ServerLoad[] {
    return this.open.withoutClosed(this.of(service));
  }

  /** The servers that a request may be sent to, by load and health apart. */
  eligible(demand: Demand): ServerLoad[] {
    return this.of(demand.service).filter((load) => isEligible(load, demand));
  }

  /** Whether a request may be without a server while its service has some. */
  isRestricted({ version, zones }: Demand): boolean {
    return version !== null || zones !== null || !this.open.hasAllZones;
  }

  /** Why no server is left that a request may be sent to; null if one is. */
  absenceFor(demand: Demand): refusal.Absence | null {
    const ready = this.#readyFor({ ...demand, zones: null });
    if (ready.length === 0) return "no-server";
    const { zones } = demand;
    const allowed =
      zones === null
        ? ready
        : ready.filter(({ server }) => zones.has(server.availabilityZone));
    if (allowed.length === 0) return "outside-regions";
    const inUse = this.open.withoutEvacuated(allowed);
    return inUse.length === 0 ? "evacuated" : null;
  }

  /** Time until a server takes the request; 0 if one does now, or none ever. */
  pauseMs(demand: Demand): number {
    if (this.open.isUnpaused) return 0;
    const eligible = this.open.withoutEvacuated(this.eligible(demand));
    // One that was sent to every server may be sent to them as a new request.
    const anew = { ...demand, excluded: NO_SERVERS, version: null };
    return this.open.shortestPauseMs(
      eligible.length > 0
        ? eligible
        : this.open.withoutEvacuated(this.eligible(anew)),
    );
  }

  /** Time until a ready server of the service takes requests; 0 if one does. */
  shortestPauseMs(service: string): number {
    const ready = this.of(service).filter(isReady);
    return this.open.shortestPauseMs(this.open.withoutEvacuated(ready));
  }

  /** Recent usage by a request's team at all engines but one. */
  usageElsewhere({ team, service }: Demand, { id }: ServerLoad): number {
    let usage = 0;
    for (const [otherId, { server, admission }] of this.#loads)
      if (otherId !== id && server.service === service)
        usage += admission?.usageOf(team) ?? 0;
    return usage;
  }

  /** Ready servers for a request, or for one that is sent again. */
  #readyFor(demand: Demand): ServerLoad[] {
    // Another version may not go on with the stream, now or later.
    if (demand.version !== null) return this.eligible(demand);
    return this.of(demand.service).filter(isReady);
  }

  #createLoad(server: BackendServer): ServerLoad {
    const engine = this.#table?.service(server.service)?.engine ?? null;
    const rate = this.#prefillRateOf(server, engine);
    const admission = this.#deps.admissionOf(server);
    const { clock } = this.#deps;
    const coldShare = this.cold.createShare(server, engine !== null);
    const deps = { clock, rate, admission, coldShare };
    return new ServerLoad(server, engine, deps);
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

/** Recent usage by a team; null if no server has an admission controller. */
export function usageAt(
  loads: readonly ServerLoad[],
  team: string,
): number | null {
  let usage: number | null = null;
  for (const { admission } of loads)
    if (admission !== null) usage = (usage ?? 0) + admission.usageOf(team);
  return usage;
}

function isReady({ server }: ServerLoad): boolean {
  return server.state === "ready";
}
