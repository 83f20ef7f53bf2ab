/** Keeps one connection to a peer: dials, serves, dials again. */

import { connect } from "node:net";
import { logger } from "../common/log.ts";
import { sleep } from "../common/signal.ts";
import { Connection, type ConnectionOwner } from "./connection.ts";
import { type Credentials, handshake } from "./handshake.ts";
import type { ListenAddress } from "./listener.ts";

const log = logger("link");

/** Wait after the first failed attempt to connect; doubles from there. */
const FIRST_BACKOFF_MS = 50;
/** Longest wait between attempts. */
const LONGEST_BACKOFF_MS = 2_000;

/** Serves each connection that was opened, until it closes. */
export type Serve = (connection: Connection) => Promise<void>;

/** The task of one peer. */
export class Dialer {
  readonly #credentials: Credentials;
  readonly #owner: ConnectionOwner;
  readonly #serve: Serve;
  readonly #stop = new AbortController();
  #connection: Connection | null = null;

  constructor(
    credentials: Credentials,
    owner: ConnectionOwner,
    { serve }: { serve: Serve },
  ) {
    this.#credentials = credentials;
    this.#owner = owner;
    this.#serve = serve;
  }

  /** Dials until `close`; resolves after it. */
  async run(address: ListenAddress): Promise<void> {
    let backoffMs = FIRST_BACKOFF_MS;
    while (!this.#stop.signal.aborted) {
      const served = await this.#once(address);
      backoffMs = served ? FIRST_BACKOFF_MS : backoffMs * 2;
      backoffMs = Math.min(backoffMs, LONGEST_BACKOFF_MS);
      await sleep(backoffMs * (0.5 + Math.random()), this.#stop.signal);
    }
  }

  /** Closes the connection and ends the task. */
  close(): void {
    this.#stop.abort();
    this.#connection?.close("Peer is no longer wanted");
  }

  /** Returns whether a connection was opened and served. */
  async #once({ host, port }: ListenAddress): Promise<boolean> {
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
    connection.close("Served to its end");
    if (!this.#stop.signal.aborted) {
      const reason = connection.closedBecause;
      log.info(`Lost the connection to ${peer.value.instance}: ${reason}`);
    }
    return true;
  }
}
