/**
 * Leases on ranges of idempotency keys.
 *
 * The side process that holds the lease of a range is the arbiter of its keys.
 */

import { createHash } from "node:crypto";
import type { Clock } from "../../common/clock.ts";
import { sleep } from "../../common/promises.ts";
import {
  type Holder,
  LEASE_MS,
  Lease,
  type ObjectStore,
  rank,
} from "../../platform/mod.ts";

/** Key ranges per service. */
const RANGE_COUNT = 8;
/** Longest time between two renewals of a lease. */
const RENEWAL_INTERVAL_MS = LEASE_MS / 3;
/** Time between reads of a lease that this process waits to take over. */
const TAKEOVER_CHECK_INTERVAL_MS = 500;
/** Time without a renewal after which a lease counts as abandoned. */
const RENEWAL_TIMEOUT_MS = RENEWAL_INTERVAL_MS * 1.5;
/** Shortest time between two reads of the same lease by `refresh`. */
const MIN_REFRESH_INTERVAL_MS = 250;

/** Dependencies of the key leases. */
export interface KeyLeaseDependencies {
  readonly clock: Clock;
  readonly store: ObjectStore;
  readonly service: string;
  /** This process, as it is named in a lease. */
  readonly own: Holder;
  /**
   * Called once if no range of the service was ever held: then no key can
   * have been used before this process started.
   */
  onNeverHeld(): void;
  /** Names of the service's connected side processes, this one included. */
  instances(): readonly string[];
}

/** Renews this process's leases, and acquires leases that have expired. */
export class KeyLeases {
  readonly #deps: KeyLeaseDependencies;
  readonly #leases: Lease[];
  /** Since when this process has held a lease without a break. */
  readonly #heldSinceMs = new Map<Lease, number>();
  /** When `refresh` last read a lease. */
  readonly #refreshedMs = new Map<Lease, number>();
  readonly #stop = new AbortController();

  constructor(deps: KeyLeaseDependencies) {
    this.#deps = deps;
    const { store, service, clock, own } = deps;
    this.#leases = Array.from({ length: RANGE_COUNT }, (_, range) => {
      const name = { kind: "key-lease", name: `${service}.${range}` };
      return new Lease(store, name, { clock, own });
    });
  }

  /** Number of ranges whose leases this process holds. */
  get heldRanges(): number {
    return this.#leases.filter(({ remainingMs }) => remainingMs > 0).length;
  }

  /** Renews and acquires leases until `close`. */
  async run(): Promise<void> {
    const { signal } = this.#stop;
    await this.#detectNeverHeld();
    while (!signal.aborted) {
      await Promise.all(
        this.#leases.map((lease) => this.#renewOrAcquire(lease)),
      );
      await this.#takeOverAbandoned(
        RENEWAL_INTERVAL_MS * (0.75 + Math.random() / 4),
      );
    }
  }

  /** Ends `run` and releases the leases. */
  async close(): Promise<void> {
    this.#stop.abort();
    await Promise.all(this.#leases.map((lease) => lease.release()));
  }

  /** Milliseconds for which this process is arbiter of a key; 0 if not. */
  remainingMs(key: string): number {
    return this.#leaseOf(key).remainingMs;
  }

  /**
   * Milliseconds for which this process has been arbiter of a key without a
   * break; 0 if it is not, infinite if it was the range's first arbiter.
   */
  heldMs(key: string): number {
    const lease = this.#leaseOf(key);
    const sinceMs = this.#heldSinceMs.get(lease);
    if (lease.remainingMs === 0 || sinceMs === undefined) return 0;
    if (lease.created) return Number.POSITIVE_INFINITY;
    return this.#deps.clock.monotonicMs() - sinceMs;
  }

  /** Returns the arbiter of a key as last read; null if none is known. */
  holder(key: string): Holder | null {
    const { holder } = this.#leaseOf(key);
    return holder?.instance === "" ? null : holder;
  }

  /**
   * Reads who is arbiter of a key, and acquires the lease if this process
   * should hold it. Only waits if the lease was read a moment ago.
   */
  async refresh(key: string): Promise<void> {
    const lease = this.#leaseOf(key);
    const nowMs = this.#deps.clock.monotonicMs();
    const lastMs = this.#refreshedMs.get(lease) ?? Number.NEGATIVE_INFINITY;
    if (nowMs - lastMs < MIN_REFRESH_INTERVAL_MS) {
      await sleep(MIN_REFRESH_INTERVAL_MS);
      return;
    }
    this.#refreshedMs.set(lease, nowMs);
    await lease.refresh();
    await this.#renewOrAcquire(lease);
  }

  /**
   * Until the next renewal, tries often to acquire the abandoned leases that
   * this process should hold. Nobody renews such a lease, and it expires a
   * fixed time after its version was first read, so the reads need not wait
   * for the next renewal.
   */
  async #takeOverAbandoned(durationMs: number): Promise<void> {
    const { clock } = this.#deps;
    const untilMs = clock.monotonicMs() + durationMs;
    while (clock.monotonicMs() < untilMs && !this.#stop.signal.aborted) {
      await sleep(TAKEOVER_CHECK_INTERVAL_MS, this.#stop.signal);
      const abandoned = this.#leases.filter(
        (lease) => this.#isAbandoned(lease) && this.#isPreferredHolder(lease),
      );
      await Promise.all(abandoned.map((lease) => this.#renewOrAcquire(lease)));
    }
  }

  /** Reads every lease once; calls `onNeverHeld` if none was ever held. */
  async #detectNeverHeld(): Promise<void> {
    for (;;) {
      const read = await Promise.all(
        this.#leases.map((lease) => lease.refresh()),
      );
      if (this.#stop.signal.aborted) return;
      if (read.every((answered) => answered)) break;
      await sleep(MIN_REFRESH_INTERVAL_MS, this.#stop.signal);
    }
    const none = this.#leases.every(({ version }) => version === 0);
    if (none) this.#deps.onNeverHeld();
  }

  /** Renews a lease of this process, or acquires one that it should hold. */
  async #renewOrAcquire(lease: Lease): Promise<void> {
    const wasHeld = lease.remainingMs > 0;
    if (lease.isOwn || this.#isPreferredHolder(lease)) {
      const acquired = await lease.acquire();
      if (!acquired || wasHeld) return;
      this.#heldSinceMs.set(lease, this.#deps.clock.monotonicMs());
    }
  }

  /** Whether the holder of a lease is disconnected or does not renew it. */
  #isAbandoned(lease: Lease): boolean {
    const { holder } = lease;
    if (lease.isOwn || holder === null) return false;
    const { own, instances } = this.#deps;
    // The holder is an earlier incarnation of this instance.
    if (holder.instance === own.instance) return true;
    if (!instances().includes(holder.instance)) return true;
    return lease.unchangedMs > RENEWAL_TIMEOUT_MS;
  }

  /** Whether rendezvous hashing ranks this process first for a range. */
  #isPreferredHolder(lease: Lease): boolean {
    const range = this.#leases.indexOf(lease);
    const { service, own } = this.#deps;
    const instances = this.#deps.instances().map((name) => ({ name }));
    const first = rank(instances, `${service}.${range}`)[0];
    return first?.name === own.instance;
  }

  #leaseOf(key: string): Lease {
    const hash = createHash("sha256").update(key).digest();
    const lease = this.#leases[hash.readUInt32BE(0) % RANGE_COUNT];
    if (lease === undefined) throw new Error("No lease for the key's range");
    return lease;
  }
}
