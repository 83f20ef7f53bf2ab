/** Spreads the configuration between peers: whoever is behind asks. */

import type { Clock } from "../common/clock.ts";
import type { Message } from "../protocol/mod.ts";
import type { Connection } from "../transport/mod.ts";
import type { ActiveConfiguration } from "./active.ts";
import type { ChunkList } from "./chunk.ts";

/** How long one peer is waited for before another one is asked. */
const ANSWER_TIMEOUT_MS = 1_000;

interface Pending {
  readonly version: number;
  readonly askedAtMs: number;
}

/** A process's part in the spread, over all its connections. */
export class ConfigurationSpread {
  readonly #active: ActiveConfiguration;
  readonly #clock: Clock;
  #pending: Pending | null = null;
  #offered: { version: number; list: ChunkList } | null = null;

  constructor(active: ActiveConfiguration, clock: Clock) {
    this.#active = active;
    this.#clock = clock;
  }

  /** Handles a message if it belongs to the spread; returns whether it did. */
  handle(connection: Connection, message: Message): boolean {
    switch (message.type) {
      case "heartbeat":
        this.#heard(connection, message.configurationVersion);
        return true;
      case "configuration-request":
        this.#offer(connection);
        return true;
      case "configuration":
        this.#accept(connection, message.version, { names: message.names });
        return true;
      case "chunks-request": {
        const texts = this.#active.chunks.get(message.names);
        connection.send({ type: "chunks", texts });
        return true;
      }
      case "chunks":
        this.#active.chunks.add(message.texts);
        this.#adopt();
        return true;
      default:
        return false;
    }
  }

  /** Many peers announce a version; one of them is asked. */
  #heard(connection: Connection, version: number): void {
    if (version <= this.#active.version) return;
    const nowMs = this.#clock.monotonicMs();
    const pending = this.#pending;
    const waiting =
      pending !== null &&
      pending.version >= version &&
      nowMs - pending.askedAtMs < ANSWER_TIMEOUT_MS;
    if (waiting) return;
    this.#pending = { version, askedAtMs: nowMs };
    connection.send({ type: "configuration-request" });
  }

  #offer(connection: Connection): void {
    const { version, list } = this.#active;
    if (version === 0) return;
    connection.send({ type: "configuration", version, names: list.names });
  }

  #accept(connection: Connection, version: number, list: ChunkList): void {
    if (version <= this.#active.version) return;
    this.#offered = { version, list };
    const names = this.#active.chunks.missing(list);
    if (names.length === 0) this.#adopt();
    else connection.send({ type: "chunks-request", names });
  }

  #adopt(): void {
    if (this.#offered === null) return;
    const { version, list } = this.#offered;
    if (this.#active.chunks.missing(list).length > 0) return;
    this.#offered = null;
    this.#active.adopt(version, list);
  }
}
