/** Accepts connections from other processes of the system. */

import { createServer, type Server } from "node:net";
import { listen } from "../common/listen.ts";
import { logger } from "../common/log.ts";
import { Connection, type ConnectionOwner } from "./connection.ts";
import { type Credentials, handshake } from "./handshake.ts";

const log = logger("link");

/**
 * Handshakes in progress at once. Hundreds of processes may connect together
 * after a restart; each handshake takes some milliseconds.
 */
const MOST_HANDSHAKES = 512;

/** Address of a listener. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Authenticates incoming connections and serves each one concurrently. */
export class Listener {
  readonly #server: Server;
  readonly #open = new Set<Connection>();
  /** Connections whose peers haven't proved who they are, oldest first. */
  readonly #unproven = new Set<Connection>();

  constructor(
    credentials: Credentials,
    owner: ConnectionOwner,
    { serve }: { serve: (connection: Connection) => Promise<void> },
  ) {
    this.#server = createServer((socket) => {
      void this.#accept(new Connection(socket, owner), credentials, serve);
    });
  }

  /** Starts listening. Rejects when the address can't be bound. */
  async listen({ host, port }: ListenAddress): Promise<void> {
    await listen(this.#server, { host, port });
  }

  /** Stops accepting and closes every connection. */
  async close(): Promise<void> {
    this.#server.close();
    const closing = [...this.#open].map((open) =>
      open.end("Process is shutting down"),
    );
    await Promise.all(closing);
  }

  async #accept(
    connection: Connection,
    credentials: Credentials,
    serve: (connection: Connection) => Promise<void>,
  ): Promise<void> {
    const { remoteAddress } = connection;
    this.#addUnproven(connection);
    const peer = await handshake(connection, "listener", credentials);
    this.#unproven.delete(connection);
    if (peer.isErr()) {
      const reason = connection.closeReason ?? peer.error;
      connection.close(reason);
      log.warn(`Rejected a connection from ${remoteAddress}: ${reason}`);
      return;
    }
    connection.start(peer.value);
    this.#open.add(connection);
    await serve(connection);
    this.#open.delete(connection);
    connection.close("Serving of the connection has ended");
  }

  #addUnproven(connection: Connection): void {
    this.#unproven.add(connection);
    if (this.#unproven.size <= MOST_HANDSHAKES) return;
    const [oldest] = this.#unproven;
    if (oldest === undefined) return;
    this.#unproven.delete(oldest);
    oldest.close("Too many handshakes are in progress");
  }
}
