/** A pool of idle connections to backend servers. */

import { ok, type Result } from "neverthrow";
import { type BackendServer, startKeyOf } from "../directory/mod.ts";
import {
  BackendConnection,
  type ConnectionFailure,
} from "./backend_connection.ts";

/** A connection for one request; give it back with `release`. */
export interface AcquiredConnection {
  readonly connection: BackendConnection;
  /** Whether it has carried a request before. */
  readonly reused: boolean;
}

/** Idle connections by server, reused while they are usable. */
export class ConnectionPool {
  readonly #idle = new Map<string, BackendConnection[]>();
  #connectAttempts = 0;

  /** Number of connection attempts so far. */
  get connectAttempts(): number {
    return this.#connectAttempts;
  }

  /** Takes an idle connection, or opens one; returns why that fails. */
  async acquire(
    server: BackendServer,
  ): Promise<Result<AcquiredConnection, ConnectionFailure>> {
    const idle = this.#idle.get(keyOf(server)) ?? [];
    for (;;) {
      const connection = idle.pop();
      if (connection === undefined) break;
      if (connection.usable) return ok({ connection, reused: true });
      connection.destroy();
    }
    return this.open(server);
  }

  /** Opens a connection even if one is idle; returns why that fails. */
  async open(
    server: BackendServer,
  ): Promise<Result<AcquiredConnection, ConnectionFailure>> {
    this.#connectAttempts += 1;
    const opened = await BackendConnection.open(server);
    return opened.map((connection) => ({ connection, reused: false }));
  }

  /** Returns a connection to the pool; closes it if it isn't usable. */
  release(server: BackendServer, connection: BackendConnection): void {
    if (!connection.usable) {
      connection.destroy();
      return;
    }
    const key = keyOf(server);
    const idle = this.#idle.get(key) ?? [];
    idle.push(connection);
    this.#idle.set(key, idle);
  }

  /** Closes the idle connections of a server. */
  closeIdle(server: BackendServer): void {
    const key = keyOf(server);
    for (const connection of this.#idle.get(key) ?? []) connection.destroy();
    this.#idle.delete(key);
  }

  /** Closes all idle connections. */
  close(): void {
    for (const connections of this.#idle.values()) {
      for (const connection of connections) connection.destroy();
    }
    this.#idle.clear();
  }
}

/** Key of one start of a server: connections aren't reused after a restart. */
function keyOf(server: BackendServer): string {
  return `${startKeyOf(server)} ${server.host}:${server.port}`;
}
