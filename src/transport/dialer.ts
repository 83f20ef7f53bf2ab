/** Keeps a connection to a peer open: reconnects whenever it is lost. */

import { connect } from "node:net";
import { logger } from "../common/log.ts";
import { sleep } from "../common/promises.ts";
import { Connection, type ConnectionOwner } from "./connection.ts";
import { type Credentials, handshake } from "./handshake.ts";
import type { ListenAddress } from "./listener.ts";

const log = logger("link");

/** Backoff after the first failed attempt; doubles with each further one. */
const INITIAL_BACKOFF_MS = 50;
/** Longest backoff before jitter, which varies it by 50 %. */
const MAX_BACKOFF_MS = 2_000;

/** Serves an open connection; resolves once it is closed or not needed. */
export type ConnectionHandler = (connection: Connection) => Promise<void>;

/** Connects to one peer and serves the connection. */
export class Dialer {
  readonly #credentials: Credentials;
  readonly #owner: ConnectionOwner;
  readonly #serve: ConnectionHandler;
  readonly #stop = new AbortController();
  #connection: Connection | null = null;

  constructor(
    credentials: Credentials,
    owner: ConnectionOwner,
    { serve }: { serve: ConnectionHandler },
  ) {
    this.#credentials = credentials;
    this.#owner = owner;
    this.#serve = serve;
  }

  /** Connects and reconnects until `close`; resolves after it. */
  async run(address: ListenAddress): Promise<void> {
    let backoffMs = INITIAL_BACKOFF_MS;
    while (!this.#stop.signal.aborted) {
      const served = await this.#dialAndServe(address);
      backoffMs = served ? INITIAL_BACKOFF_MS : backoffMs * 2;
      backoffMs = Math.min(backoffMs, MAX_BACKOFF_MS);
      await sleep(backoffMs * (0.5 + Math.random()), this.#stop.signal);
    }
  }

  /** Closes the connection and ends `run`. */
  close(): void {
    this.#stop.abort();
    this.#connection?.close("Connection to the peer is no longer needed");
  }

  /** Returns whether a connection was opened and served. */
  async #dialAndServe({ host, port }: ListenAddress): Promise<boolean> {
    const socket = connect({ host, port });
    const connection = new Connection(socket, this.#owner);
    this.#connection = connection;
    const peer = await handshake(connection, "dialer", this.#credentials);
    if (peer.isErr()) {
      connection.close(peer.error);
      log.debug(`No connection to ${host}:${port}: ${peer.error}`);
      return false;
    }
    connection.start(peer.value);
    log.debug(`Connected to ${peer.value.instance}`);
    await this.#serve(connection);
    connection.close("Serving of the connection has ended");
    if (!this.#stop.signal.aborted) {
      const reason = connection.closeReason;
      log.info(`Lost the connection to ${peer.value.instance}: ${reason}`);
    }
    return true;
  }
}
