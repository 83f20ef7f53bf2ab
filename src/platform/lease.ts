/**
 * A lease that is stored as an object of the object API.
 *
 * Only monotonic clocks are used, and none are compared between processes. The
 * holder counts the lease from just before it sent its request; others take it
 * over only after they have seen the object unchanged for longer than a lease.
 * The object's version is the fencing token.
 */

import type { Clock } from "../common/clock.ts";
import { Schema } from "../common/schema.ts";
import type {
  ObjectName,
  ObjectStore,
  VersionedObject,
} from "./object_store.ts";

/** Duration of a lease after it was acquired or renewed. */
export const LEASE_MS = 12_000;
/** Subtracted from the lease by its holder and added to it by others. */
const SAFETY_MARGIN_MS = 1_000;

interface LeaseValue {
  readonly holder: string;
  readonly incarnation: string;
}

const schema = new Schema<LeaseValue>({
  type: "object",
  required: ["holder", "incarnation"],
  properties: { holder: { type: "string" }, incarnation: { type: "string" } },
});

/** The process that holds a lease. */
export interface Holder {
  readonly instance: string;
  readonly incarnation: string;
}

/** One process's view of a lease. */
export class Lease {
  readonly #store: ObjectStore;
  readonly #clock: Clock;
  readonly #name: ObjectName;
  readonly #own: Holder;
  #expiresAtMs = Number.NEGATIVE_INFINITY;
  #version = 0;
  #unchangedSinceMs = 0;
  #holder: Holder | null = null;
  #created = false;

  constructor(
    store: ObjectStore,
    name: ObjectName,
    { clock, own }: { readonly clock: Clock; readonly own: Holder },
  ) {
    this.#store = store;
    this.#name = name;
    this.#clock = clock;
    this.#own = own;
  }

  /** Milliseconds for which this process safely holds the lease; 0 if not. */
  get remainingMs(): number {
    return Math.max(0, this.#expiresAtMs - this.#clock.monotonicMs());
  }

  /** Fencing token: the object's version as last read or written. */
  get version(): number {
    return this.#version;
  }

  /**
   * The holder as last read or written; null when none is known. Its instance
   * is empty once the lease was released.
   */
  get holder(): Holder | null {
    return this.#holder;
  }

  /** Whether this process was the first ever to hold the lease. */
  get created(): boolean {
    return this.#created;
  }

  /** Whether the last known holder is this process. */
  get isOwn(): boolean {
    return this.#holder?.incarnation === this.#own.incarnation;
  }

  /** Milliseconds since this process saw the object change. */
  get unchangedMs(): number {
    return this.#clock.monotonicMs() - this.#unchangedSinceMs;
  }

  /** Reads the holder. Returns whether the platform answered. */
  async refresh(): Promise<boolean> {
    const stored = await this.#store.get(this.#name);
    if (stored.isOk()) {
      this.#observe(stored.value);
      return true;
    }
    if (stored.error.type !== "not-found") return false;
    this.#holder = null;
    this.#version = 0;
    return true;
  }

  /**
   * Renews the lease if this process holds it; acquires it if it is free or
   * has expired. Returns whether that succeeded.
   */
  async acquire(): Promise<boolean> {
    // A lease that has not expired is renewed without reading it first.
    if (this.remainingMs > 0 && (await this.#write(this.#own))) return true;
    const answered = await this.refresh();
    if (!answered) return false;
    if (!this.isOwn && !this.#isFree()) return false;
    return await this.#write(this.#own);
  }

  /** Releases the lease, so that others can acquire it before it expires. */
  async release(): Promise<void> {
    if (!this.isOwn) return;
    this.#expiresAtMs = Number.NEGATIVE_INFINITY;
    await this.#write({ instance: "", incarnation: "" });
  }

  #isFree(): boolean {
    if (this.#holder === null || this.#holder.instance === "") return true;
    const unchangedMs = this.#clock.monotonicMs() - this.#unchangedSinceMs;
    return unchangedMs > LEASE_MS + SAFETY_MARGIN_MS;
  }

  async #write({ instance, incarnation }: Holder): Promise<boolean> {
    const sentAtMs = this.#clock.monotonicMs();
    const value: LeaseValue = { holder: instance, incarnation };
    const expected = this.#version;
    const written =
      expected === 0
        ? await this.#store.create(this.#name, value)
        : await this.#store.update(this.#name, value, { expected });
    // If the response was lost, the next read shows who holds the lease.
    if (written.isErr()) return false;
    this.#version = written.value;
    this.#holder = { instance, incarnation };
    this.#unchangedSinceMs = this.#clock.monotonicMs();
    if (instance === "") return true;
    if (expected === 0) this.#created = true;
    this.#expiresAtMs = sentAtMs + LEASE_MS - SAFETY_MARGIN_MS;
    return true;
  }

  #observe({ version, value }: VersionedObject): void {
    if (version !== this.#version) {
      this.#unchangedSinceMs = this.#clock.monotonicMs();
    }
    this.#version = version;
    const checked = schema.check(value);
    if (checked.isErr()) {
      this.#holder = null;
      return;
    }
    const { holder: instance, incarnation } = checked.value;
    this.#holder = { instance, incarnation };
  }
}
