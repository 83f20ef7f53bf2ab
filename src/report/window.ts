/** Good and bad events over a sliding window. */

/** Totals of a window. */
export interface Totals {
  readonly good: number;
  readonly bad: number;
}

/** A ring of buckets; each bucket covers a fixed time. */
export class Window {
  readonly #bucketMs: number;
  readonly #good: Uint32Array;
  readonly #bad: Uint32Array;
  #newest = 0;

  constructor(lengthMs: number, { buckets }: { readonly buckets: number }) {
    this.#bucketMs = lengthMs / buckets;
    this.#good = new Uint32Array(buckets);
    this.#bad = new Uint32Array(buckets);
  }

  /** Counts one event. */
  record(kept: boolean, nowMs: number): void {
    this.#advance(nowMs);
    const counts = kept ? this.#good : this.#bad;
    const at = this.#newest % counts.length;
    counts[at] = (counts[at] ?? 0) + 1;
  }

  /** Returns the totals of the window that ends now. */
  totals(nowMs: number): Totals {
    this.#advance(nowMs);
    return { good: sum(this.#good), bad: sum(this.#bad) };
  }

  /** Empties the buckets that time has passed over. */
  #advance(nowMs: number): void {
    const bucket = Math.floor(nowMs / this.#bucketMs);
    const first = Math.max(this.#newest + 1, bucket - this.#good.length + 1);
    for (let at = first; at <= bucket; at += 1) {
      this.#good[at % this.#good.length] = 0;
      this.#bad[at % this.#bad.length] = 0;
    }
    this.#newest = Math.max(this.#newest, bucket);
  }
}

function sum(counts: Uint32Array): number {
  return counts.reduce((total, count) => total + count, 0);
}
