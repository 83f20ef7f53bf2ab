/** The task of one connection between side processes of a service. */

import { logger } from "../common/log.ts";
import { type ActiveConfiguration, spread } from "../configuration/mod.ts";
import type { Ledger } from "../fairness/mod.ts";
import type { LedgerEntry, Message } from "../protocol/mod.ts";
import type { Connection } from "../transport/mod.ts";

const log = logger("side-process");

/** Entries sent in one message. */
const BATCH_ENTRIES = 500;

/** What a session shares with the rest of the process. */
export interface PeerSessionParts {
  readonly active: ActiveConfiguration;
  readonly ledger: Ledger;
}

/** Exchanges counters with one peer. */
export class PeerSession {
  readonly #connection: Connection;
  readonly #parts: PeerSessionParts;

  constructor(connection: Connection, parts: PeerSessionParts) {
    this.#connection = connection;
    this.#parts = parts;
  }

  /** Name of the peer's instance. */
  get instance(): string {
    return this.#connection.peer.instance;
  }

  /** Serves until the connection closes. */
  async serve(): Promise<void> {
    const { active, ledger } = this.#parts;
    this.sendCounters(ledger.snapshot());
    for await (const message of this.#connection.messages) {
      if (spread.handle(active, this.#connection, message)) continue;
      this.#handle(message);
    }
    ledger.forget(this.#connection.peer.incarnation);
  }

  /** Announces the configuration version. */
  announce(): void {
    this.#connection.announce();
  }

  /** Sends entries of the ledger, in batches. */
  sendCounters(entries: readonly LedgerEntry[]): void {
    for (let at = 0; at < entries.length; at += BATCH_ENTRIES) {
      const batch = entries.slice(at, at + BATCH_ENTRIES);
      this.#connection.send({ type: "counters", entries: batch });
    }
  }

  #handle(message: Message): void {
    switch (message.type) {
      case "counters":
        this.#merge(message.entries);
        return;
      default:
        log.warn(`Ignored ${message.type} of peer ${this.instance}`);
    }
  }

  #merge(entries: readonly LedgerEntry[]): void {
    const { ledger } = this.#parts;
    const behind = entries
      .filter((entry) => ledger.merge(entry))
      .map(({ team }) => ledger.entry(team))
      .filter((entry) => entry !== null);
    this.sendCounters(behind);
  }
}
