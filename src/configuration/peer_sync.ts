/**
 * Distributes the configuration between peers. Heartbeats announce versions; a
 * process that is behind requests the chunk list, then the missing chunks.
 */

import type { Clock } from "../common/clock.ts";
import type { Message } from "../protocol/mod.ts";
import type { Connection } from "../transport/mod.ts";
import type { ActiveConfiguration } from "./active.ts";
import type { ChunkList } from "./chunk.ts";

/** Time without a new version after which another peer is asked. */
const REQUEST_TIMEOUT_MS = 1_000;

interface PendingRequest {
  readonly version: number;
  readonly requestedAtMs: number;
}

/** Synchronises one process with its peers, over all connections. */
export class ConfigurationPeerSync {
  readonly #active: ActiveConfiguration;
  readonly #clock: Clock;
  #pendingRequest: PendingRequest | null = null;
  #received: { version: number; list: ChunkList } | null = null;

  constructor(active: ActiveConfiguration, clock: Clock) {
    this.#active = active;
    this.#clock = clock;
  }

  /** Handles a message about the configuration; returns false for others. */
  handle(connection: Connection, message: Message): boolean {
    switch (message.type) {
      case "heartbeat":
        this.#requestIfNewer(connection, message.configurationVersion);
        return true;
      case "configuration-request":
        this.#sendConfiguration(connection);
        return true;
      case "configuration":
        this.#receiveConfiguration(connection, message.version, {
          names: message.names,
        });
        return true;
      case "chunks-request": {
        const texts = this.#active.chunks.get(message.names);
        connection.send({ type: "chunks", texts });
        return true;
      }
      case "chunks":
        this.#active.chunks.add(message.texts);
        this.#adoptIfComplete();
        return true;
      default:
        return false;
    }
  }

  /** Many peers announce a new version; only one at a time is asked. */
  #requestIfNewer(connection: Connection, version: number): void {
    if (version <= this.#active.version) return;
    const nowMs = this.#clock.monotonicMs();
    const pending = this.#pendingRequest;
    const waiting =
      pending !== null &&
      pending.version >= version &&
      nowMs - pending.requestedAtMs < REQUEST_TIMEOUT_MS;
    if (waiting) return;
    this.#pendingRequest = { version, requestedAtMs: nowMs };
    connection.send({ type: "configuration-request" });
  }

  #sendConfiguration(connection: Connection): void {
    const { version, chunkList } = this.#active;
    if (version === 0) return;
    connection.send({ type: "configuration", version, names: chunkList.names });
  }

  #receiveConfiguration(
    connection: Connection,
    version: number,
    list: ChunkList,
  ): void {
    if (version <= this.#active.version) return;
    this.#received = { version, list };
    const names = this.#active.chunks.missing(list);
    if (names.length === 0) this.#adoptIfComplete();
    else connection.send({ type: "chunks-request", names });
  }

  #adoptIfComplete(): void {
    if (this.#received === null) return;
    const { version, list } = this.#received;
    if (this.#active.chunks.missing(list).length > 0) return;
    this.#received = null;
    this.#active.adopt(version, list);
  }
}
