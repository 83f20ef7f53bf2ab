/** Connections to the other side processes of the service. */

import type { Clock } from "../common/clock.ts";
import type { LedgerEntry } from "../fairness/mod.ts";
import type { Instance } from "../platform/mod.ts";
import type {
  ClaimAnswer,
  KeyAnswer,
  KeyRecord,
  KeyUpdateConfirmation,
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
import { PeerSession, type PeerSessionDependencies } from "./peer_session.ts";

/** Key records handed over in one message. */
const BATCH_RECORDS = 50;

/** Dependencies of the peers. */
export interface PeersDependencies
  extends Omit<PeerSessionDependencies, "losses"> {
  readonly clock: Clock;
  readonly credentials: Credentials;
  readonly owner: ConnectionOwner;
  readonly memory: KeyMemory;
}

/** A peer whose connection closed without a handover. */
interface LostPeer {
  readonly instance: string;
  readonly atMs: number;
}

/**
 * Keeps one connection to each peer. This process dials the peers whose names
 * sort after its own; the others dial this process.
 */
export class Peers implements PeerKeyClient {
  readonly #deps: PeersDependencies;
  readonly #dialers = new Map<string, Dialer>();
  readonly #sessions = new Set<PeerSession>();
  /** Peers lost without a handover, by incarnation. */
  readonly #lost = new Map<string, LostPeer>();
  #listedInstances: readonly string[] = [];

  constructor(deps: PeersDependencies) {
    this.#deps = deps;
  }

  /** Number of connected peers. */
  get count(): number {
    return this.#sessions.size;
  }

  /** Names of the connected peers' instances. */
  get instances(): string[] {
    return [...this.#sessions].map(({ instance }) => instance);
  }

  get incarnations(): string[] {
    return [...this.#sessions].map(({ incarnation }) => incarnation);
  }

  get losses(): number {
    const beforeMs = this.#deps.clock.monotonicMs() - KEY_WINDOW_MS;
    for (const [incarnation, { atMs }] of this.#lost) {
      if (atMs < beforeMs) this.#lost.delete(incarnation);
    }
    const lost = [...this.#lost.values()].map(({ instance }) => instance);
    const accountedFor = new Set([...this.instances, ...lost]);
    const unaccounted = this.#listedInstances.filter(
      (name) => !accountedFor.has(name),
    );
    return lost.length + unaccounted.length;
  }

  /** Dials new peers of the instance list, and drops those not listed. */
  updateInstances(instances: readonly Instance[]): void {
    const { instance, service } = this.#deps.credentials.identity;
    const others = instances
      .filter((one) => one.role === "side-process")
      .filter((one) => one.service === service && one.name !== instance);
    this.#listedInstances = others.map(({ name }) => name);
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

  /** Handles a connection with a peer until it closes. */
  async serve(connection: Connection): Promise<void> {
    const session = new PeerSession(connection, {
      ...this.#deps,
      losses: () => this.losses,
    });
    const { incarnation, instance } = session;
    this.#lost.delete(incarnation);
    this.#sessions.add(session);
    await session.serve();
    this.#sessions.delete(session);
    // The same process may have opened a newer connection.
    if (session.handedOver || this.incarnations.includes(incarnation)) return;
    const atMs = this.#deps.clock.monotonicMs();
    this.#lost.set(incarnation, { instance, atMs });
  }

  /** Sends ledger entries to every peer. */
  sendCounters(entries: readonly LedgerEntry[]): void {
    if (entries.length === 0) return;
    for (const session of this.#sessions) session.sendCounters(entries);
  }

  /** Sends a message to every peer. */
  broadcast(message: Message): void {
    for (const session of this.#sessions) session.send(message);
  }

  /** Sends a heartbeat with the configuration version to every peer. */
  announce(): void {
    for (const session of this.#sessions) session.announce();
  }

  async claim(
    instance: string,
    claim: { key: string; attempt: string; bodyHash: string },
  ): Promise<ClaimAnswer | null> {
    const session = this.#sessionWith(instance);
    if (session === undefined) return null;
    return await session.request<ClaimAnswer>((query) => {
      return { type: "claim", query, ...claim };
    });
  }

  async query(incarnation: string, key: string): Promise<KeyAnswer | null> {
    const session = [...this.#sessions].find(
      (one) => one.incarnation === incarnation,
    );
    if (session === undefined) return null;
    return await session.request<KeyAnswer>((query) => {
      return { type: "key-query", query, key };
    });
  }

  async backUp(record: KeyRecord): Promise<boolean> {
    for (const session of [...this.#sessions]) {
      const confirmed = await session.request<KeyUpdateConfirmation>(
        (query) => {
          return { type: "key-update", query, records: [record], memoryMs: 0 };
        },
      );
      if (confirmed !== null) return true;
    }
    return false;
  }

  notify(instance: string, record: KeyRecord): void {
    this.#sessionWith(instance)?.send({
      type: "key-update",
      query: 0,
      records: [record],
      memoryMs: 0,
    });
  }

  /**
   * Sends every key record to one peer, then announces to all peers that this
   * process leaves. Without a confirmed handover it announces nothing.
   */
  async handOver(): Promise<void> {
    const { memoryMs, records } = this.#deps.memory;
    const [successor] = this.#sessions;
    if (successor === undefined) return;
    for (let at = 0; at < records.length || at === 0; at += BATCH_RECORDS) {
      const batch = records.slice(at, at + BATCH_RECORDS);
      const last = at + BATCH_RECORDS >= records.length;
      const kept = await successor.request<KeyUpdateConfirmation>((query) => ({
        type: "key-update",
        ...{ query, records: batch },
        memoryMs: last ? memoryMs : 0,
      }));
      if (kept === null) return;
    }
    this.broadcast({ type: "leaving" });
  }

  /** Closes every connection that this process dialled. */
  close(): void {
    for (const dialer of this.#dialers.values()) dialer.close();
  }

  #dial(key: string, { host, port }: Instance): void {
    const { credentials, owner } = this.#deps;
    const serve = (connection: Connection) => this.serve(connection);
    const dialer = new Dialer(credentials, owner, { serve });
    this.#dialers.set(key, dialer);
    void dialer.run({ host, port });
  }

  #sessionWith(instance: string): PeerSession | undefined {
    return [...this.#sessions].find((one) => one.instance === instance);
  }
}
