/** Leases over ranges of idempotency keys, one arbiter per range. */

import { createHash } from "node:crypto";
import type { Clock } from "../../common/clock.ts";
import { sleep } from "../../common/signal.ts";
import {
  type Holder,
  LEASE_MS,
  Lease,
  type ObjectStore,
  rank,
} from "../../platform/mod.ts";

/** Ranges of keys per service. */
const RANGES = 8;
/** Time between renewals. */
const RENEW_MS = LEASE_MS / 3;
/** Time between looks at a lease that this process waits to take over. */
const TAKEOVER_CHECK_MS = 500;
/** Without a renewal for so long, a holder counts as gone. */
const UNRENEWED_MS = RENEW_MS * 1.5;
/** Shortest time between two reads of who holds a range. */
const REFRESH_MS = 250;

/** What the leases need of their process. */
export interface KeyLeaseParts {
  readonly clock: Clock;
  readonly store: ObjectStore;
  readonly service: string;
  readonly own: Holder;
  /** Called when no range of the service was ever held: no key is older. */
  historyBegins(): void;
  /** Names of the service's side processes that can be reached. */
  members(): readonly string[];
}

/** Renews the own leases, takes over those that ran out. */
export class KeyLeases {
  readonly #parts: KeyLeaseParts;
  readonly #leases: Lease[];
  readonly #heldSinceMs = new Map<Lease, number>();
  readonly #refreshedMs = new Map<Lease, number>();
  readonly #stop = new AbortController();

  constructor(parts: KeyLeaseParts) {
    this.#parts = parts;
    const { store, service, clock, own } = parts;
    this.#leases = Array.from({ length: RANGES }, (_, range) => {
      const name = { kind: "key-lease", name: `${service}.${range}` };
      return new Lease(store, name, { clock, own });
    });
  }

  /** Number of ranges held. */
  get held(): number {
    return this.#leases.filter(({ remainingMs }) => remainingMs > 0).length;
  }

  /** Keeps the leases until `close`. */
  async run(): Promise<void> {
    const { signal } = this.#stop;
    await this.#findHistory();
    while (!signal.aborted) {
      await Promise.all(this.#leases.map((lease) => this.#keep(lease)));
      await this.#takeOver(RENEW_MS * (0.75 + Math.random() / 4));
    }
  }

  /** Ends `run` and gives the leases up. */
  async close(): Promise<void> {
    this.#stop.abort();
    await Promise.all(this.#leases.map((lease) => lease.release()));
  }

  /** Milliseconds for which this process is arbiter of a key; 0 if not. */
  remainingMs(key: string): number {
    return this.#leaseOf(key).remainingMs;
  }

  /** How long this process has been arbiter of a key without a break. */
  heldMs(key: string): number {
    const lease = this.#leaseOf(key);
    const sinceMs = this.#heldSinceMs.get(lease);
    if (lease.remainingMs === 0 || sinceMs === undefined) return 0;
    if (lease.created) return Number.POSITIVE_INFINITY;
    return this.#parts.clock.monotonicMs() - sinceMs;
  }

  /** Returns the arbiter of a key as far as known, or null. */
  holder(key: string): Holder | null {
    const { holder } = this.#leaseOf(key);
    return holder?.instance === "" ? null : holder;
  }

  /** Reads again who is arbiter of a key. */
  async refresh(key: string): Promise<void> {
    const lease = this.#leaseOf(key);
    const nowMs = this.#parts.clock.monotonicMs();
    const lastMs = this.#refreshedMs.get(lease) ?? Number.NEGATIVE_INFINITY;
    if (nowMs - lastMs < REFRESH_MS) {
      await sleep(REFRESH_MS);
      return;
    }
    this.#refreshedMs.set(lease, nowMs);
    await lease.refresh();
    await this.#keep(lease);
  }

  /**
   * Looks often at leases of processes that have gone, until the next renewal:
   * their end counts from the first look, and nobody renews them meanwhile.
   */
  async #takeOver(durationMs: number): Promise<void> {
    const { clock } = this.#parts;
    const untilMs = clock.monotonicMs() + durationMs;
    while (clock.monotonicMs() < untilMs && !this.#stop.signal.aborted) {
      await sleep(TAKEOVER_CHECK_MS, this.#stop.signal);
      const awaited = this.#leases.filter(
        (lease) => this.#isAbandoned(lease) && this.#isFirst(lease),
      );
      await Promise.all(awaited.map((lease) => this.#keep(lease)));
    }
  }

  /** Reads every lease once, and tells if there was none at all. */
  async #findHistory(): Promise<void> {
    for (;;) {
      const read = await Promise.all(
        this.#leases.map((lease) => lease.refresh()),
      );
      if (this.#stop.signal.aborted) return;
      if (read.every((answered) => answered)) break;
      await sleep(REFRESH_MS, this.#stop.signal);
    }
    const none = this.#leases.every(({ version }) => version === 0);
    if (none) this.#parts.historyBegins();
  }

  /** Renews an own lease; acquires one that this process should hold. */
  async #keep(lease: Lease): Promise<void> {
    const wasHeld = lease.remainingMs > 0;
    if (lease.isOwn || this.#isFirst(lease)) {
      const acquired = await lease.acquire();
      if (!acquired || wasHeld) return;
      this.#heldSinceMs.set(lease, this.#parts.clock.monotonicMs());
    }
  }

  /** Whether its holder has gone, or at least does not renew it. */
  #isAbandoned(lease: Lease): boolean {
    const { holder } = lease;
    if (lease.isOwn || holder === null) return false;
    const { own, members } = this.#parts;
    // Its holder is an earlier incarnation of this process.
    if (holder.instance === own.instance) return true;
    if (!members().includes(holder.instance)) return true;
    return lease.unchangedMs > UNRENEWED_MS;
  }

  #isFirst(lease: Lease): boolean {
    const range = this.#leases.indexOf(lease);
    const { service, own } = this.#parts;
    const members = this.#parts.members().map((name) => ({ name }));
    const first = rank(members, `${service}.${range}`)[0];
    return first?.name === own.instance;
  }

  #leaseOf(key: string): Lease {
    const hash = createHash("sha256").update(key).digest();
    const lease = this.#leases[hash.readUInt32BE(0) % RANGES];
    if (lease === undefined) throw new Error("Range has no lease");
    return lease;
  }
}
