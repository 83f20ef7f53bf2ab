/** The servers of one router that are or may be cold. */

import type { Clock } from "../common/clock.ts";
import type { BackendServer, DirectoryChange } from "../directory/mod.ts";
import type { ColdStart } from "../routing/mod.ts";
import { ColdServers } from "./cold_servers.ts";
import { ColdShare } from "./cold_share.ts";
import type { ServerLoad } from "./server_load.ts";

/**
 * Routers that share a cold server while their number isn't known. Too large a
 * number costs a router little: it waits some tenths of a second until an
 * admission controller tells. Too small a one would break the bound.
 */
const ASSUMED_ROUTERS = 100;

/** What a server's admission controller is told of it. */
export interface ColdTerms extends ColdStart {
  /** Time for which the server is cold, as far as the router knows. */
  readonly remainingMs: number;
  /** Routers that the router knows of; 0 if no controller has reported. */
  readonly routers: number;
}

/** Dependencies of `ColdLoads`. */
export interface ColdLoadsDependencies {
  /** Servers by id; changes to it are seen here. */
  readonly loads: ReadonlyMap<string, ServerLoad>;
  /** Returns how a service's servers are cold; null if they never are. */
  readonly coldStartOf: (service: string) => ColdStart | null;
}

/** Knows which servers are cold, and bounds what is sent without permits. */
export class ColdLoads {
  readonly #clock: Clock;
  readonly #deps: ColdLoadsDependencies;
  readonly #servers: ColdServers;
  #reportedRouters = 0;

  constructor(clock: Clock, deps: ColdLoadsDependencies) {
    this.#clock = clock;
    this.#deps = deps;
    this.#servers = new ColdServers(clock);
  }

  /** Records how many routers admission controllers report; 0 if none does. */
  noteRouters(reported: number): void {
    // The last known number holds while no controller is connected.
    if (reported > 0) this.#reportedRouters = reported;
  }

  /** Applies a change of the server directory. */
  apply({ type, server }: DirectoryChange): void {
    if (type === "left") this.#servers.forget(server);
    else this.#servers.note(server, server.coldForMs);
  }

  /**
   * Marks the servers of a zone as cold, because they have had no requests for
   * a time; returns those of services whose servers are ever cold.
   */
  markZone(availabilityZone: string): BackendServer[] {
    const marked: BackendServer[] = [];
    for (const { server } of this.#deps.loads.values()) {
      if (server.availabilityZone !== availabilityZone) continue;
      const coldStart = this.#deps.coldStartOf(server.service);
      if (coldStart === null) continue;
      this.#servers.note(server, coldStart.durationMs);
      marked.push(server);
    }
    return marked;
  }

  /** Time for which a server is cold, as far as this router knows. */
  remainingMs(server: BackendServer): number {
    if (this.#deps.coldStartOf(server.service) === null) return 0;
    const report = this.#deps.loads.get(server.id)?.admission?.report;
    const reportedMs = report?.coldPace?.remainingMs ?? 0;
    return Math.max(this.#servers.remainingMs(server), reportedMs);
  }

  /** What a server's admission controller is told; null if it is never cold. */
  termsOf(server: BackendServer): ColdTerms | null {
    const coldStart = this.#deps.coldStartOf(server.service);
    if (coldStart === null) return null;
    const remainingMs = this.#servers.remainingMs(server);
    return { ...coldStart, remainingMs, routers: this.#reportedRouters };
  }

  /** Returns a router's share of a server; it bounds nothing if never cold. */
  createShare(server: BackendServer, isEngine: boolean): ColdShare {
    return new ColdShare({
      clock: this.#clock,
      share: () => 1 / (this.#reportedRouters || ASSUMED_ROUTERS),
      toleratedPerS: () => {
        const coldStart = this.#deps.coldStartOf(server.service);
        if (coldStart === null) return null;
        // All routers use a plain server without permits at all times.
        const isBounded = isEngine || this.#servers.remainingMs(server) > 0;
        return isBounded ? coldStart.requestsPerS : null;
      },
    });
  }

  /** Number of cold servers by availability zone. */
  get countByZone(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const { server } of this.#deps.loads.values()) {
      const { availabilityZone: zone } = server;
      const added = this.remainingMs(server) > 0 ? 1 : 0;
      counts.set(zone, (counts.get(zone) ?? 0) + added);
    }
    return counts;
  }

  /** Requests of all routers that wait for permits of cold servers. */
  get waiting(): number {
    let waiting = 0;
    for (const { admission } of this.#deps.loads.values()) {
      const report = admission?.report;
      if (report?.coldPace !== undefined) waiting += report.asks;
    }
    return waiting;
  }
}
