/** Tells which of the known servers take requests now, by what they have said. */

import type { BackendServer, ServerNotices } from "../directory/mod.ts";
import type { ServerLoad } from "./server_load.ts";

/** The servers of one router, as they change. */
export class OpenServers {
  readonly #loads: ReadonlyMap<string, ServerLoad>;
  readonly #notices: ServerNotices;

  /** @param loads servers by id; changes to it are seen here */
  constructor(loads: ReadonlyMap<string, ServerLoad>, notices: ServerNotices) {
    this.#loads = loads;
    this.#notices = notices;
  }

  /** Whether no server has said anything that might keep requests from it. */
  get isUnrestricted(): boolean {
    return this.#notices.isEmpty;
  }

  /** Whether a server, as it has started, takes requests. */
  has({ id, startedAtMs }: BackendServer): boolean {
    const server = this.#loads.get(id)?.server;
    return (
      server?.startedAtMs === startedAtMs &&
      server.state === "ready" &&
      this.#notices.pauseLeftMs(server) === 0
    );
  }

  /** Whether the server of an id takes requests. */
  hasId(id: string): boolean {
    const server = this.#loads.get(id)?.server;
    return server !== undefined && this.has(server);
  }

  /** Leaves out servers that are paused. */
  withoutPaused(loads: readonly ServerLoad[]): readonly ServerLoad[] {
    if (this.isUnrestricted) return loads;
    return loads.filter(
      ({ server }) => this.#notices.pauseLeftMs(server) === 0,
    );
  }

  /** Time in ms until one of the servers isn't paused; 0 if there are none. */
  shortestPauseMs(loads: readonly ServerLoad[]): number {
    if (loads.length === 0 || this.isUnrestricted) return 0;
    return Math.min(
      ...loads.map(({ server }) => this.#notices.pauseLeftMs(server)),
    );
  }
}
