/**
 * A lease held as an object of the object API.
 *
 * Only monotonic clocks count: the holder trusts its lease from just before
 * it asked for it; others wait until the object has not changed for longer.
 * The object's version is the fencing number.
 */

import type { Clock } from "../common/clock.ts";
import { Schema } from "../common/schema.ts";
import type { ObjectName, ObjectStore, StoredObject } from "./object_store.ts";

/** How long a lease holds after it was acquired or renewed. */
export const LEASE_MS = 12_000;
/** Taken off by the holder, added by those who wait for the end. */
const MARGIN_MS = 1_000;

interface LeaseValue {
  readonly holder: string;
  readonly incarnation: string;
}

const schema = new Schema<LeaseValue>({
  type: "object",
  required: ["holder", "incarnation"],
  properties: { holder: { type: "string" }, incarnation: { type: "string" } },
});

/** Who holds a lease. */
export interface Holder {
  readonly instance: string;
  readonly incarnation: string;
}

/** One lease as one process sees it. */
export class Lease {
  readonly #store: ObjectStore;
  readonly #clock: Clock;
  readonly #name: ObjectName;
  readonly #own: Holder;
  #untilMs = Number.NEGATIVE_INFINITY;
  #version = 0;
  #unchangedSinceMs = 0;
  #seen: Holder | null = null;
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

  /** Milliseconds for which this process surely holds it; 0 when not. */
  get remainingMs(): number {
    return Math.max(0, this.#untilMs - this.#clock.monotonicMs());
  }

  /** Fencing number. */
  get version(): number {
    return this.#version;
  }

  /** The holder as last read; null when not read or given up. */
  get holder(): Holder | null {
    return this.#seen;
  }

  /** Whether this process was the first that ever held it. */
  get created(): boolean {
    return this.#created;
  }

  /** Whether the last read named this process. */
  get isOwn(): boolean {
    return this.#seen?.incarnation === this.#own.incarnation;
  }

  /** Milliseconds for which it was seen without a change. */
  get unchangedMs(): number {
    return this.#clock.monotonicMs() - this.#unchangedSinceMs;
  }

  /** Reads who holds it. Returns whether the platform answered. */
  async refresh(): Promise<boolean> {
    const stored = await this.#store.get(this.#name);
    if (stored.isOk()) {
      this.#observe(stored.value);
      return true;
    }
    if (stored.error.type !== "not-found") return false;
    this.#seen = null;
    this.#version = 0;
    return true;
  }

  /** Renews it if own, acquires it if it is free or has run out. */
  async acquire(): Promise<boolean> {
    // A lease that still holds is renewed without a read.
    if (this.remainingMs > 0 && (await this.#write(this.#own))) return true;
    const knows = await this.refresh();
    if (!knows) return false;
    if (!this.isOwn && !this.#isFree()) return false;
    return await this.#write(this.#own);
  }

  /** Gives it up, so that another need not wait for its end. */
  async release(): Promise<void> {
    if (!this.isOwn) return;
    this.#untilMs = Number.NEGATIVE_INFINITY;
    await this.#write({ instance: "", incarnation: "" });
  }

  #isFree(): boolean {
    if (this.#seen === null || this.#seen.instance === "") return true;
    const unchangedMs = this.#clock.monotonicMs() - this.#unchangedSinceMs;
    return unchangedMs > LEASE_MS + MARGIN_MS;
  }

  async #write({ instance, incarnation }: Holder): Promise<boolean> {
    const beforeMs = this.#clock.monotonicMs();
    const value: LeaseValue = { holder: instance, incarnation };
    const expected = this.#version;
    const written =
      expected === 0
        ? await this.#store.create(this.#name, value)
        : await this.#store.update(this.#name, value, { expected });
    // After a lost answer, the next read tells whose it is.
    if (written.isErr()) return false;
    this.#version = written.value;
    this.#seen = { instance, incarnation };
    this.#unchangedSinceMs = this.#clock.monotonicMs();
    if (instance === "") return true;
    if (expected === 0) this.#created = true;
    this.#untilMs = beforeMs + LEASE_MS - MARGIN_MS;
    return true;
  }

  #observe({ version, value }: StoredObject): void {
    if (version !== this.#version) {
      this.#unchangedSinceMs = this.#clock.monotonicMs();
    }
    this.#version = version;
    const checked = schema.check(value);
    if (checked.isErr()) {
      this.#seen = null;
      return;
    }
    const { holder: instance, incarnation } = checked.value;
    this.#seen = { instance, incarnation };
  }
}
