/**
 * Which backend servers may be given work.
 *
 * A server that goes missing around an outage of the registry may only have
 * failed to renew its entry. It stays in use for a grace period after the
 * registry is back, in which a living server registers anew.
 */

import type { Clock } from "../common/clock.ts";
import type { BackendServer } from "./backend_server.ts";
import { isSameStart } from "./backend_server.ts";

/** Time in which living servers register again after an outage. */
export const REGISTRATION_GRACE_MS = 2_000;

/** A change of what is known. */
export type DirectoryChange =
  | { readonly type: "joined"; readonly server: BackendServer }
  | { readonly type: "changed"; readonly server: BackendServer }
  | { readonly type: "left"; readonly server: BackendServer };

/** Servers by id, and what changes about them. */
export class ServerDirectory {
  readonly #clock: Clock;
  readonly #servers = new Map<string, BackendServer>();
  /** Servers without an entry, and until when they are still used. */
  readonly #missing = new Map<string, number>();
  readonly #listeners: ((change: DirectoryChange) => void)[] = [];
  #graceUntilMs = Number.NEGATIVE_INFINITY;
  #outage = false;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Calls back on each change. */
  onChange(listener: (change: DirectoryChange) => void): void {
    this.#listeners.push(listener);
  }

  /** Notes that the registry doesn't answer. */
  noteOutage(): void {
    this.#outage = true;
  }

  /** Notes that the registry answers again. */
  noteReturn(): void {
    if (!this.#outage) return;
    this.#outage = false;
    this.#graceUntilMs = this.#clock.monotonicMs() + REGISTRATION_GRACE_MS;
    for (const id of this.#missing.keys()) {
      this.#missing.set(id, this.#graceUntilMs);
    }
  }

  /** Takes the whole list of servers. */
  replaceAll(servers: readonly BackendServer[]): void {
    const listed = new Set(servers.map(({ id }) => id));
    for (const server of servers) this.put(server);
    for (const id of [...this.#servers.keys()]) {
      if (!listed.has(id)) this.remove(id);
    }
  }

  /** Takes a server's new entry. */
  put(server: BackendServer): void {
    const known = this.#servers.get(server.id);
    this.#missing.delete(server.id);
    if (known !== undefined && !isSameStart(known, server)) this.#drop(known);
    const joined = this.#servers.get(server.id) === undefined;
    this.#servers.set(server.id, server);
    this.#notify({ type: joined ? "joined" : "changed", server });
  }

  /** Takes the end of a server's entry. */
  remove(id: string): void {
    const server = this.#servers.get(id);
    if (server === undefined) return;
    if (this.#clock.monotonicMs() < this.#graceUntilMs) {
      if (!this.#missing.has(id)) this.#missing.set(id, this.#graceUntilMs);
      return;
    }
    this.#drop(server);
  }

  /** Drops servers whose grace is over; call it from time to time. */
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
