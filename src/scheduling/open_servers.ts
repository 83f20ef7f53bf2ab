/**
 * Tells which of the known servers take requests now, by what they have said and
 * by the zones that are emptied.
 */

import type {
  BackendServer,
  ServerNotices,
  ZoneEvacuations,
} from "../directory/mod.ts";
import type { ServerLoad } from "./server_load.ts";

/** The servers of one router, as they change. */
export class OpenServers {
  readonly #loads: ReadonlyMap<string, ServerLoad>;
  readonly #notices: ServerNotices;
  readonly #evacuations: ZoneEvacuations;

  /** @param loads servers by id; changes to it are seen here */
  constructor(
    loads: ReadonlyMap<string, ServerLoad>,
    deps: {
      readonly notices: ServerNotices;
      readonly evacuations: ZoneEvacuations;
    },
  ) {
    this.#loads = loads;
    this.#notices = deps.notices;
    this.#evacuations = deps.evacuations;
  }

  /** Whether no server has said anything that might keep requests from it. */
  get isUnpaused(): boolean {
    return this.#notices.isEmpty;
  }

  /** Whether no zone is emptied. */
  get hasAllZones(): boolean {
    return this.#evacuations.isEmpty;
  }

  /** Whether a server is in an emptied zone. */
  isEvacuated({ availabilityZone }: BackendServer): boolean {
    return this.#evacuations.isEmptied(availabilityZone);
  }

  /** Whether a server, as it has started, takes requests. */
  has({ id, startedAtMs }: BackendServer): boolean {
    const server = this.#loads.get(id)?.server;
    return (
      server?.startedAtMs === startedAtMs &&
      server.state === "ready" &&
      !this.isEvacuated(server) &&
      this.#notices.pauseLeftMs(server) === 0
    );
  }

  /** Whether the server of an id takes requests. */
  hasId(id: string): boolean {
    const server = this.#loads.get(id)?.server;
    return server !== undefined && this.has(server);
  }

  /** Leaves out servers that are paused or in an emptied zone. */
  withoutClosed(loads: readonly ServerLoad[]): readonly ServerLoad[] {
    const inUse = this.withoutEvacuated(loads);
    if (this.isUnpaused) return inUse;
    return inUse.filter(
      ({ server }) => this.#notices.pauseLeftMs(server) === 0,
    );
  }

  /** Leaves out servers in emptied zones. */
  withoutEvacuated(loads: readonly ServerLoad[]): readonly ServerLoad[] {
    if (this.hasAllZones) return loads;
    return loads.filter(({ server }) => !this.isEvacuated(server));
  }

  /** Time in ms until one of the servers isn't paused; 0 if there are none. */
  shortestPauseMs(loads: readonly ServerLoad[]): number {
    if (loads.length === 0 || this.isUnpaused) return 0;
    return Math.min(
      ...loads.map(({ server }) => this.#notices.pauseLeftMs(server)),
    );
  }
}
