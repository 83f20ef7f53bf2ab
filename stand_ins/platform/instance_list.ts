/** The instance list, which can be read as of an earlier time. */

import type { Instance } from "../../src/platform/mod.ts";

interface Snapshot {
  readonly atMs: number;
  readonly instances: readonly Instance[];
}

/** The list as of some time, and the time of its last change. */
export interface LaggedList {
  readonly atMs: number;
  readonly list: readonly Instance[];
}

/** Keeps earlier states of the list, so that answers can lag behind. */
export class InstanceList {
  #snapshots: Snapshot[] = [{ atMs: 0, instances: [] }];

  /** Adds an instance or replaces it. */
  put(instance: Instance): void {
    const others = this.#newest().filter(({ name }) => name !== instance.name);
    this.#push([...others, instance]);
  }

  /** Removes an instance. */
  remove(name: string): void {
    this.#push(this.#newest().filter((instance) => instance.name !== name));
  }

  /** Returns the list as it was `lagMs` ago. */
  asOf(lagMs: number): LaggedList {
    const beforeMs = Date.now() - lagMs;
    const seen = this.#snapshots.findLast((one) => one.atMs <= beforeMs);
    return { atMs: seen?.atMs ?? 0, list: seen?.instances ?? [] };
  }

  #newest(): readonly Instance[] {
    return this.#snapshots.at(-1)?.instances ?? [];
  }

  #push(instances: readonly Instance[]): void {
    // The time serves as the ETag, so no two states may have the same one.
    const before = this.#snapshots.at(-1)?.atMs ?? 0;
    const atMs = Math.max(Date.now(), before + 1);
    this.#snapshots.push({ atMs, instances });
  }
}
