/**
 * Checks whether a server is still there after one of its responses broke off.
 *
 * A router can't leave that to the next request: it may send the server none
 * for seconds, and the request that crashed it is repeated at other servers.
 */

import type { BackendServer } from "../directory/mod.ts";
import type { ConnectionFailure } from "./backend_connection.ts";
import type { ConnectionPool } from "./connection_pool.ts";

/** Dependencies of a probe. */
export interface CrashProbeDependencies {
  readonly pool: ConnectionPool;
  /** Called when no connection to the server can be opened. */
  onUnreachable(server: BackendServer, failure: ConnectionFailure): void;
}

/** Opens a connection to each suspected server, one at a time per server. */
export class CrashProbe {
  readonly #deps: CrashProbeDependencies;
  readonly #probed = new Set<string>();

  constructor(deps: CrashProbeDependencies) {
    this.#deps = deps;
  }

  /** Probes a server unless a probe of it is in progress. */
  async probe(server: BackendServer): Promise<void> {
    if (this.#probed.has(server.id)) return;
    this.#probed.add(server.id);
    const opened = await this.#deps.pool.open(server);
    this.#probed.delete(server.id);
    if (opened.isErr()) this.#deps.onUnreachable(server, opened.error);
    else this.#deps.pool.release(server, opened.value.connection);
  }
}
