/**
 * Tracks the backend servers that may get requests.
 *
 * During a registry outage, live servers can't renew their entries. A server
 * whose entry is gone after an outage therefore stays in use for a grace
 * period, in which a live server registers again.
 */

import type { Clock } from "../common/clock.ts";
import type { BackendServer } from "./backend_server.ts";
import { isSameStart } from "./backend_server.ts";

/** Time in which live servers register again after a registry outage. */
export const REGISTRATION_GRACE_MS = 2_000;

/** A change of the directory; `changed`: new entry, but no restart. */
export type DirectoryChange =
  | { readonly type: "joined"; readonly server: BackendServer }
  | { readonly type: "changed"; readonly server: BackendServer }
  | { readonly type: "left"; readonly server: BackendServer };

/** The known servers by id; notifies listeners of changes. */
export class ServerDirectory {
  readonly #clock: Clock;
  readonly #servers = new Map<string, BackendServer>();
  /** End of the grace period, in monotonic ms, of servers without an entry. */
  readonly #missing = new Map<string, number>();
  readonly #listeners: ((change: DirectoryChange) => void)[] = [];
  #graceUntilMs = Number.NEGATIVE_INFINITY;
  #outage = false;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Adds a listener that is called on each change. */
  onChange(listener: (change: DirectoryChange) => void): void {
    this.#listeners.push(listener);
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

  /** Replaces all entries by the full list of the registry. */
  replaceAll(servers: readonly BackendServer[]): void {
    const listed = new Set(servers.map(({ id }) => id));
    for (const server of servers) this.put(server);
    for (const id of [...this.#servers.keys()]) {
      if (!listed.has(id)) this.remove(id);
    }
  }

  /** Adds or updates a server's entry. */
  put(server: BackendServer): void {
    const known = this.#servers.get(server.id);
    this.#missing.delete(server.id);
    if (known !== undefined && !isSameStart(known, server)) this.#drop(known);
    const joined = this.#servers.get(server.id) === undefined;
    this.#servers.set(server.id, server);
    this.#notify({ type: joined ? "joined" : "changed", server });
  }

  /** Removes a server; in a grace period, it is kept until that ends. */
  remove(id: string): void {
    const server = this.#servers.get(id);
    if (server === undefined) return;
    if (this.#clock.monotonicMs() < this.#graceUntilMs) {
      if (!this.#missing.has(id)) this.#missing.set(id, this.#graceUntilMs);
      return;
    }
    this.#drop(server);
  }

  /** Drops servers whose grace period is over; must be called periodically. */
  sweep(): void {
    const nowMs = this.#clock.monotonicMs();
    for (const [id, untilMs] of this.#missing) {
      if (nowMs < untilMs) continue;
      const server = this.#servers.get(id);
      if (server !== undefined) this.#drop(server);
    }
  }

  #drop(server: BackendServer): void {
    this.#missing.delete(server.id);
    this.#servers.delete(server.id);
    this.#notify({ type: "left", server });
  }

  #notify(change: DirectoryChange): void {
    for (const listener of this.#listeners) listener(change);
  }
}
