/** Connections with the other side processes of the service. */

import type { Clock } from "../common/clock.ts";
import type { LedgerEntry } from "../fairness/mod.ts";
import type { Instance } from "../platform/mod.ts";
import type {
  ClaimAnswer,
  KeyAnswer,
  KeyKept,
  KeyRecord,
  Message,
} from "../protocol/mod.ts";
import {
  type Connection,
  type ConnectionOwner,
  type Credentials,
  Dialer,
} from "../transport/mod.ts";
import {
  KEY_WINDOW_MS,
  type KeyMemory,
  type PeerKeyClient,
} from "./keys/mod.ts";
import { PeerSession, type PeerSessionParts } from "./peer_session.ts";

/** Keys handed over in one message. */
const BATCH_RECORDS = 50;

/** What the peers share with the rest of the process. */
export interface PeersParts extends Omit<PeerSessionParts, "losses"> {
  readonly clock: Clock;
  readonly credentials: Credentials;
  readonly owner: ConnectionOwner;
  readonly memory: KeyMemory;
}

interface Loss {
  readonly instance: string;
  readonly atMs: number;
}

/** Dials peers whose name sorts after its own; the others dial it. */
export class Peers implements PeerKeyClient {
  readonly #parts: PeersParts;
  readonly #dialers = new Map<string, Dialer>();
  readonly #sessions = new Set<PeerSession>();
  /** Peers that ended without handing over, by incarnation. */
  readonly #lost = new Map<string, Loss>();
  #listed: readonly string[] = [];

  constructor(parts: PeersParts) {
    this.#parts = parts;
  }

  /** Number of peers connected. */
  get count(): number {
    return this.#sessions.size;
  }

  /** Instances connected. */
  get instances(): string[] {
    return [...this.#sessions].map(({ instance }) => instance);
  }

  get connected(): string[] {
    return [...this.#sessions].map(({ incarnation }) => incarnation);
  }

  get losses(): number {
    const beforeMs = this.#parts.clock.monotonicMs() - KEY_WINDOW_MS;
    for (const [incarnation, { atMs }] of this.#lost) {
      if (atMs < beforeMs) this.#lost.delete(incarnation);
    }
    const lost = [...this.#lost.values()].map(({ instance }) => instance);
    const reached = new Set([...this.instances, ...lost]);
    const unreached = this.#listed.filter((name) => !reached.has(name));
    return lost.length + unreached.length;
  }

  /** Follows the instance list. */
  update(instances: readonly Instance[]): void {
    const { instance, service } = this.#parts.credentials.identity;
    const others = instances
      .filter((one) => one.role === "side-process")
      .filter((one) => one.service === service && one.name !== instance);
    this.#listed = others.map(({ name }) => name);
    const wanted = new Map(
      others
        .filter(({ name }) => name > instance)
        .map((one) => [`${one.name}@${one.host}:${one.port}`, one]),
    );
    for (const [key, dialer] of this.#dialers) {
      if (wanted.has(key)) continue;
      dialer.close();
      this.#dialers.delete(key);
    }
    for (const [key, one] of wanted) {
      if (!this.#dialers.has(key)) this.#dial(key, one);
    }
  }

  /** Serves a connection with a peer until it closes. */
  async serve(connection: Connection): Promise<void> {
    const session = new PeerSession(connection, {
      ...this.#parts,
      losses: () => this.losses,
    });
    const { incarnation, instance } = session;
    this.#lost.delete(incarnation);
    this.#sessions.add(session);
    await session.serve();
    this.#sessions.delete(session);
    // A newer connection of the same process may have taken over.
    if (session.left || this.connected.includes(incarnation)) return;
    const atMs = this.#parts.clock.monotonicMs();
    this.#lost.set(incarnation, { instance, atMs });
  }

  /** Sends entries of the ledger to every peer. */
  sendCounters(entries: readonly LedgerEntry[]): void {
    if (entries.length === 0) return;
    for (const session of this.#sessions) session.sendCounters(entries);
  }

  /** Sends a message to every peer. */
  broadcast(message: Message): void {
    for (const session of this.#sessions) session.send(message);
  }

  /** Announces the configuration version to every peer. */
  announce(): void {
    for (const session of this.#sessions) session.announce();
  }

  async claim(
    instance: string,
    claim: { key: string; attempt: string; bodyHash: string },
  ): Promise<ClaimAnswer | null> {
    const session = this.#byInstance(instance);
    if (session === undefined) return null;
    return await session.ask<ClaimAnswer>((query) => {
      return { type: "claim", query, ...claim };
    });
  }

  async query(incarnation: string, key: string): Promise<KeyAnswer | null> {
    const session = [...this.#sessions].find(
      (one) => one.incarnation === incarnation,
    );
    if (session === undefined) return null;
    return await session.ask<KeyAnswer>((query) => {
      return { type: "key-query", query, key };
    });
  }

  async backUp(record: KeyRecord): Promise<boolean> {
    for (const session of [...this.#sessions]) {
      const kept = await session.ask<KeyKept>((query) => {
        return { type: "key-update", query, records: [record], memoryMs: 0 };
      });
      if (kept !== null) return true;
    }
    return false;
  }

  notify(instance: string, record: KeyRecord): void {
    this.#byInstance(instance)?.send({
      type: "key-update",
      query: 0,
      records: [record],
      memoryMs: 0,
    });
  }

  /** Hands every key to one peer, then tells all that this one leaves. */
  async handOver(): Promise<void> {
    const { memoryMs, records } = this.#parts.memory;
    const [heir] = this.#sessions;
    if (heir === undefined) return;
    for (let at = 0; at < records.length || at === 0; at += BATCH_RECORDS) {
      const batch = records.slice(at, at + BATCH_RECORDS);
      const last = at + BATCH_RECORDS >= records.length;
      const kept = await heir.ask<KeyKept>((query) => ({
        type: "key-update",
        ...{ query, records: batch },
        memoryMs: last ? memoryMs : 0,
      }));
      if (kept === null) return;
    }
    this.broadcast({ type: "leaving" });
  }

  /** Closes every dialled connection. */
  close(): void {
    for (const dialer of this.#dialers.values()) dialer.close();
  }

  #dial(key: string, { host, port }: Instance): void {
    const { credentials, owner } = this.#parts;
    const serve = (connection: Connection) => this.serve(connection);
    const dialer = new Dialer(credentials, owner, { serve });
    this.#dialers.set(key, dialer);
    void dialer.run({ host, port });
  }

  #byInstance(instance: string): PeerSession | undefined {
    return [...this.#sessions].find((one) => one.instance === instance);
  }
}
