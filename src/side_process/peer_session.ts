/** One connection between two side processes of a service. */

import { logger } from "../common/log.ts";
import { Deferred, withTimeout } from "../common/promises.ts";
import type { ConfigurationPeerSync } from "../configuration/mod.ts";
import {
  type Ledger,
  type LedgerEntry,
  packEntry,
  unpackEntry,
} from "../fairness/mod.ts";
import type {
  KeyAnswer,
  KeyUpdate,
  Message,
  PackedEntry,
} from "../protocol/mod.ts";
import type { Quarantine } from "../quarantine/mod.ts";
import type { Connection } from "../transport/mod.ts";
import type { Arbiter, KeyMemory } from "./keys/mod.ts";

const log = logger("side-process");

/** Ledger entries sent in one message. */
const BATCH_ENTRIES = 500;
/**
 * Time between heartbeats of an idle connection. Short, because a connection
 * that fails unnoticed delays the peers' counters.
 */
const PEER_HEARTBEAT_INTERVAL_MS = 2_000;
/** Time in which a peer must answer a request. */
const ANSWER_TIMEOUT_MS = 1_000;

/** Dependencies of a peer session. */
export interface PeerSessionDependencies {
  readonly configurationSync: ConfigurationPeerSync;
  /** Incarnation of this process. */
  readonly incarnation: string;
  readonly ledger: Ledger;
  readonly memory: KeyMemory;
  readonly quarantine: Quarantine;
  readonly arbiter: () => Arbiter;
  /** Number of peers whose key records may be missing. */
  readonly losses: () => number;
}

/** A message that the peer answers with the same `query` number. */
type PeerRequest = Extract<
  Message,
  { readonly type: "claim" | "key-query" | "key-update" }
>;

/** Exchanges counters, key records and crash strikes with one peer. */
export class PeerSession {
  readonly #connection: Connection;
  readonly #deps: PeerSessionDependencies;
  readonly #pendingRequests = new Map<number, Deferred<Message | null>>();
  #lastQuery = 0;
  #handedOver = false;

  constructor(connection: Connection, deps: PeerSessionDependencies) {
    this.#connection = connection;
    this.#deps = deps;
    connection.setIdleHeartbeatMs(PEER_HEARTBEAT_INTERVAL_MS);
  }

  /** Name of the peer's instance. */
  get instance(): string {
    return this.#connection.peer.instance;
  }

  /** Incarnation of the peer. */
  get incarnation(): string {
    return this.#connection.peer.incarnation;
  }

  /** Whether the peer has announced that it handed over its key records. */
  get handedOver(): boolean {
    return this.#handedOver;
  }

  /** Handles messages until the connection closes. */
  async serve(): Promise<void> {
    const { configurationSync, ledger, quarantine } = this.#deps;
    this.sendCounters(ledger.snapshot());
    for (const strike of quarantine.strikes()) this.send(strike);
    for await (const message of this.#connection.messages) {
      if (configurationSync.handle(this.#connection, message)) continue;
      this.#handle(message);
    }
    ledger.clearWaitingAt(this.incarnation);
    for (const pending of this.#pendingRequests.values()) pending.resolve(null);
  }

  /** Sends a heartbeat with the version of the active configuration. */
  announce(): void {
    this.#connection.sendHeartbeat();
  }

  /** Sends a message that needs no answer. */
  send(message: Message): void {
    this.#connection.send(message);
  }

  /** Sends entries of the ledger, in batches. */
  sendCounters(entries: readonly LedgerEntry[]): void {
    for (let at = 0; at < entries.length; at += BATCH_ENTRIES) {
      const batch = entries
        .slice(at, at + BATCH_ENTRIES)
        .map((entry) => packEntry(entry, this.#deps.incarnation));
      this.send({ type: "counters", entries: batch });
    }
  }

  /** Sends a request; resolves with its answer, or null after a timeout. */
  async request<T extends Message>(
    create: (query: number) => PeerRequest,
  ): Promise<T | null> {
    this.#lastQuery += 1;
    const query = this.#lastQuery;
    const answered = new Deferred<Message | null>();
    this.#pendingRequests.set(query, answered);
    // A busy connection detects a silent peer sooner.
    this.#connection.setBusy(true);
    this.send(create(query));
    const answer = await withTimeout(answered.promise, ANSWER_TIMEOUT_MS);
    this.#pendingRequests.delete(query);
    if (answer.type === "timeout") return null;
    this.#connection.setBusy(this.#pendingRequests.size > 0);
    return answer.value as T | null;
  }

  #handle(message: Message): void {
    const { quarantine } = this.#deps;
    switch (message.type) {
      case "counters":
        this.#mergeCounters(message.entries);
        return;
      case "claim":
        void this.#decideClaim(message);
        return;
      case "key-query":
        this.send(this.#keyAnswer(message.query, message.key));
        return;
      case "key-update":
        this.#storeRecords(message);
        return;
      case "claim-answer":
      case "key-answer":
      case "key-kept":
        this.#pendingRequests.get(message.query)?.resolve(message);
        return;
      case "strike":
        quarantine.strike(message);
        return;
      case "clear":
        quarantine.clear(message.fingerprint);
        return;
      case "leaving":
        this.#handedOver = true;
        return;
      default:
        log.warn(`Ignored ${message.type} message from peer ${this.instance}`);
    }
  }

  /** Merges counters; sends back those of which the peer has an old epoch. */
  #mergeCounters(entries: readonly PackedEntry[]): void {
    const { ledger } = this.#deps;
    const newer = entries
      .map((packed) => unpackEntry(packed, this.incarnation))
      .filter((entry) => ledger.merge(entry))
      .map(({ team }) => ledger.entry(team))
      .filter((entry) => entry !== null);
    this.sendCounters(newer);
  }

  async #decideClaim(
    claim: Extract<Message, { readonly type: "claim" }>,
  ): Promise<void> {
    const { key, attempt, bodyHash, query } = claim;
    const answer = await this.#deps.arbiter().decide({
      claim: { key, attempt, bodyHash },
      runner: this.incarnation,
    });
    this.send({ ...answer, query });
  }

  #keyAnswer(query: number, key: string): KeyAnswer {
    const { memory, losses } = this.#deps;
    const record = memory.get(key);
    return {
      type: "key-answer",
      query,
      records: record === null ? [] : [record],
      memoryMs: memory.memoryMs,
      losses: losses(),
    };
  }

  #storeRecords({ records, memoryMs, query }: KeyUpdate): void {
    const { memory } = this.#deps;
    for (const record of records) memory.put(record);
    if (memoryMs > 0) memory.extendAge(memoryMs);
    if (query !== 0) this.send({ type: "key-kept", query });
  }
}
