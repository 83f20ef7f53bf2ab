/** Accepts connections of the system's own processes. */

import { createServer, type Server } from "node:net";
import { listen } from "../common/listen.ts";
import { logger } from "../common/log.ts";
import { Connection, type ConnectionOwner } from "./connection.ts";
import { type Credentials, handshake } from "./handshake.ts";

const log = logger("link");

/** Where to listen. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Serves each connection with one task. */
export class Listener {
  readonly #server: Server;
  readonly #open = new Set<Connection>();

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
    const ends = [...this.#open].map((open) => open.end("Process is closing"));
    await Promise.all(ends);
  }

  async #accept(
    connection: Connection,
    credentials: Credentials,
    serve: (connection: Connection) => Promise<void>,
  ): Promise<void> {
    const { remote } = connection;
    const peer = await handshake(connection, "listener", credentials);
    if (peer.isErr()) {
      const reason = connection.closedBecause ?? peer.error;
      connection.close(reason);
      log.warn(`Dropped a connection from ${remote}: ${reason}`);
      return;
    }
    connection.start(peer.value);
    this.#open.add(connection);
    await serve(connection);
    this.#open.delete(connection);
    connection.close("Served to its end");
  }
}
