/** The instance list, shown as it was a while ago. */

import type { Instance } from "../../src/platform/mod.ts";

interface Snapshot {
  readonly atMs: number;
  readonly instances: readonly Instance[];
}

/** A state of the list with its time. */
export interface SeenList {
  readonly atMs: number;
  readonly list: readonly Instance[];
}

/** Keeps earlier states, so that the list can lag. */
export class Instances {
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
  seen(lagMs: number): SeenList {
    const beforeMs = Date.now() - lagMs;
    const seen = this.#snapshots.findLast((one) => one.atMs <= beforeMs);
    return { atMs: seen?.atMs ?? 0, list: seen?.instances ?? [] };
  }

  #newest(): readonly Instance[] {
    return this.#snapshots.at(-1)?.instances ?? [];
  }

  #push(instances: readonly Instance[]): void {
    // Each state has a time of its own: the time is its tag.
    const before = this.#snapshots.at(-1)?.atMs ?? 0;
    const atMs = Math.max(Date.now(), before + 1);
    this.#snapshots.push({ atMs, instances });
  }
}
