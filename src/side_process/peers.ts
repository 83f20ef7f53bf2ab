/** Connections with the other side processes of the service. */

import type { Instance } from "../platform/mod.ts";
import type { LedgerEntry } from "../protocol/mod.ts";
import {
  type Connection,
  type ConnectionOwner,
  type Credentials,
  Dialer,
} from "../transport/mod.ts";
import { PeerSession, type PeerSessionParts } from "./peer_session.ts";

/** Dials peers whose name sorts after its own; the others dial it. */
export class Peers {
  readonly #credentials: Credentials;
  readonly #owner: ConnectionOwner;
  readonly #parts: PeerSessionParts;
  readonly #dialers = new Map<string, Dialer>();
  readonly #sessions = new Set<PeerSession>();

  constructor(
    credentials: Credentials,
    owner: ConnectionOwner,
    parts: PeerSessionParts,
  ) {
    this.#credentials = credentials;
    this.#owner = owner;
    this.#parts = parts;
  }

  /** Number of peers connected. */
  get count(): number {
    return this.#sessions.size;
  }

  /** Follows the instance list. */
  update(instances: readonly Instance[]): void {
    const { instance, service } = this.#credentials.identity;
    const wanted = new Map(
      instances
        .filter((one) => one.role === "side-process")
        .filter((one) => one.service === service && one.name > instance)
        .map((one) => [`${one.name}@${one.host}:${one.port}`, one]),
    );
    for (const [key, dialer] of this.#dialers) {
      if (wanted.has(key)) continue;
      dialer.close();
      this.#dialers.delete(key);
    }
    for (const [key, { host, port }] of wanted) {
      if (this.#dialers.has(key)) continue;
      const serve = (connection: Connection) => this.serve(connection);
      const dialer = new Dialer(this.#credentials, this.#owner, { serve });
      this.#dialers.set(key, dialer);
      void dialer.run({ host, port });
    }
  }

  /** Serves a connection with a peer until it closes. */
  async serve(connection: Connection): Promise<void> {
    const session = new PeerSession(connection, this.#parts);
    this.#sessions.add(session);
    await session.serve();
    this.#sessions.delete(session);
  }

  /** Sends entries of the ledger to every peer. */
  broadcast(entries: readonly LedgerEntry[]): void {
    if (entries.length === 0) return;
    for (const session of this.#sessions) session.sendCounters(entries);
  }

  /** Announces the configuration version to every peer. */
  announce(): void {
    for (const session of this.#sessions) session.announce();
  }

  /** Closes every dialled connection. */
  close(): void {
    for (const dialer of this.#dialers.values()) dialer.close();
  }
}
