/**
 * Tracks the backend servers that may get requests.
 *
 * During a registry outage, live servers can't renew their entries. A server
 * whose entry is gone after an outage therefore stays in use for a grace
 * period, in which a live server registers again.
 *
 * A registry may also come back from an older copy. Entries of servers that have
 * left meanwhile are then listed again, until they lapse.
 */

import type { Clock } from "../common/clock.ts";
import type { BackendServer } from "./backend_server.ts";
import { isSameStart, startKeyOf } from "./backend_server.ts";
import type { ServerNotice, ServerStart } from "./server_notice.ts";
import { ServerNotices } from "./server_notices.ts";

/** Time in which live servers register again after a registry outage. */
export const REGISTRATION_GRACE_MS = 2_000;

/**
 * Time within which the end of a server shows in the registry: its entry lapses
 * after three intervals without a sign of life, some 4 s, and the registry
 * reports that a little later.
 */
export const LAPSE_MS = 6_000;
/** Time for which servers that have left are remembered. */
const DEPARTED_MS = 60_000;

/** A change of the directory; `changed`: new entry, but no restart. */
export type DirectoryChange =
  | { readonly type: "joined"; readonly server: BackendServer }
  | { readonly type: "changed"; readonly server: BackendServer }
  | { readonly type: "left"; readonly server: BackendServer };

/** An entry whose server had left before the registry was restored. */
interface RestoredEntry {
  readonly server: BackendServer;
  /** When it is used, if it still stands then. */
  readonly untilMs: number;
}

/** The known servers by id; notifies listeners of changes. */
export class ServerDirectory {
  /** What servers have said of themselves. */
  readonly notices: ServerNotices;
  readonly #clock: Clock;
  readonly #servers = new Map<string, BackendServer>();
  /** End of the grace period, in monotonic ms, of servers without an entry. */
  readonly #missing = new Map<string, number>();
  readonly #listeners: ((change: DirectoryChange) => void)[] = [];
  /** When servers left, by start. */
  readonly #departed = new Map<string, number>();
  /** Restored entries of servers that had left, by id; used if they last. */
  readonly #restored = new Map<string, RestoredEntry>();
  #restoredAtMs = Number.NEGATIVE_INFINITY;
  #graceUntilMs = Number.NEGATIVE_INFINITY;
  #outage = false;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.notices = new ServerNotices(clock);
  }

  /** Adds a listener that is called on each change. */
  onChange(listener: (change: DirectoryChange) => void): void {
    this.#listeners.push(listener);
  }

  /** Returns a known server; null if there is none with the id. */
  get(id: string): BackendServer | null {
    return this.#servers.get(id) ?? null;
  }

  /** Number of known servers in an availability zone. */
  countIn(availabilityZone: string): number {
    return [...this.#servers.values()].filter(
      (server) => server.availabilityZone === availabilityZone,
    ).length;
  }

  /** Whether the registry answers, as far as is known. */
  get isCurrent(): boolean {
    return !this.#outage;
  }

  /** Records that the registry doesn't answer. */
  noteOutage(): void {
    this.#outage = true;
  }

  /** Records that the registry answers again; starts the grace period. */
  noteRecovery(): void {
    if (!this.#outage) return;
    this.#outage = false;
    this.#graceUntilMs = this.#clock.monotonicMs() + REGISTRATION_GRACE_MS;
    for (const id of this.#missing.keys()) {
      this.#missing.set(id, this.#graceUntilMs);
    }
  }

  /**
   * Records that the registry has come back from an older copy. Servers that
   * are missing there get the grace period; those that had left stay out until
   * their entries have outlasted the time in which a dead server's lapses.
   */
  noteRestore(): void {
    this.noteOutage();
    this.noteRecovery();
    this.#restoredAtMs = this.#clock.monotonicMs();
  }

  /**
   * Records what a server has said of itself; returns whether it is news. A
   * server that leaves counts as draining, whatever its entry says.
   */
  note(start: ServerStart, notice: ServerNotice): boolean {
    if (!this.notices.note(start, notice)) return false;
    const known = this.#servers.get(start.id);
    if (notice.type === "leaving" && known?.startedAtMs === start.startedAtMs)
      this.#set(known);
    return true;
  }

  /** Replaces all entries by the full list of the registry. */
  replaceAll(servers: readonly BackendServer[]): void {
    const listed = new Set(servers.map(({ id }) => id));
    for (const server of servers) this.put(server);
    for (const id of [...this.#servers.keys(), ...this.#restored.keys()]) {
      if (!listed.has(id)) this.remove(id);
    }
  }

  /** Adds or updates a server's entry. */
  put(server: BackendServer): void {
    const known = this.#servers.get(server.id);
    this.#missing.delete(server.id);
    this.#restored.delete(server.id);
    if (known !== undefined && !isSameStart(known, server)) this.#drop(known);
    if (this.#holdBack(server)) return;
    this.#set(server);
  }

  #set(server: BackendServer): void {
    const known = this.#servers.get(server.id);
    // A server that drains doesn't become ready again; an older copy of its
    // entry may say so.
    const isDraining =
      known?.state === "draining" || this.notices.isLeaving(server);
    const state = isDraining ? "draining" : server.state;
    const current = { ...server, state };
    this.#servers.set(server.id, current);
    const type = known === undefined ? "joined" : "changed";
    this.#notify({ type, server: current });
  }

  /** Keeps a restored entry out if its server had left before. */
  #holdBack(server: BackendServer): boolean {
    const nowMs = this.#clock.monotonicMs();
    const untilMs = this.#restoredAtMs + LAPSE_MS;
    const leftAtMs = this.#departed.get(startKeyOf(server));
    const isOld = leftAtMs !== undefined && leftAtMs < this.#restoredAtMs;
    if (!isOld || nowMs >= untilMs) return false;
    this.#restored.set(server.id, { server, untilMs });
    return true;
  }

  /** Removes a server; in a grace period, it is kept until that ends. */
  remove(id: string): void {
    this.#restored.delete(id);
    const server = this.#servers.get(id);
    if (server === undefined) return;
    if (this.#clock.monotonicMs() < this.#graceUntilMs) {
      if (!this.#missing.has(id)) this.#missing.set(id, this.#graceUntilMs);
      return;
    }
    this.#drop(server);
  }

  /**
   * Drops servers whose grace period is over, and adds those whose restored
   * entries have lasted; must be called periodically.
   */
  sweep(): void {
    const nowMs = this.#clock.monotonicMs();
    for (const [id, { server, untilMs }] of this.#restored) {
      if (nowMs < untilMs) continue;
      this.#restored.delete(id);
      this.#set(server);
    }
    for (const [id, untilMs] of this.#missing) {
      if (nowMs < untilMs) continue;
      const server = this.#servers.get(id);
      if (server !== undefined) this.#drop(server);
    }
  }

  #drop(server: BackendServer): void {
    this.#recordDeparture(server);
    this.#missing.delete(server.id);
    this.#servers.delete(server.id);
    this.#notify({ type: "left", server });
  }

  #recordDeparture(server: BackendServer): void {
    const nowMs = this.#clock.monotonicMs();
    for (const [start, leftAtMs] of this.#departed) {
      if (leftAtMs > nowMs - DEPARTED_MS) break;
      this.#departed.delete(start);
    }
    const start = startKeyOf(server);
    this.#departed.delete(start);
    this.#departed.set(start, nowMs);
  }

  #notify(change: DirectoryChange): void {
    for (const listener of this.#listeners) listener(change);
  }
}
