/** Counts good and bad events over a sliding window. */

/** Numbers of events in a window. */
export interface WindowTotals {
  readonly good: number;
  readonly bad: number;
}

/** A ring buffer of buckets, each of which covers an equal time. */
export class SlidingWindow {
  readonly #bucketMs: number;
  readonly #good: Uint32Array;
  readonly #bad: Uint32Array;
  #newestBucket = 0;

  constructor(lengthMs: number, { buckets }: { readonly buckets: number }) {
    this.#bucketMs = lengthMs / buckets;
    this.#good = new Uint32Array(buckets);
    this.#bad = new Uint32Array(buckets);
  }

  /** Counts one event. */
  record(good: boolean, nowMs: number): void {
    this.#clearExpired(nowMs);
    const counts = good ? this.#good : this.#bad;
    const at = this.#newestBucket % counts.length;
    counts[at] = (counts[at] ?? 0) + 1;
  }

  /** Returns the totals of the window that ends at `nowMs`. */
  totals(nowMs: number): WindowTotals {
    this.#clearExpired(nowMs);
    return { good: sum(this.#good), bad: sum(this.#bad) };
  }

  /** Clears the buckets that are reused for the time since the last call. */
  #clearExpired(nowMs: number): void {
    const bucket = Math.floor(nowMs / this.#bucketMs);
    const first = Math.max(
      this.#newestBucket + 1,
      bucket - this.#good.length + 1,
    );
    for (let at = first; at <= bucket; at += 1) {
      this.#good[at % this.#good.length] = 0;
      this.#bad[at % this.#bad.length] = 0;
    }
    this.#newestBucket = Math.max(this.#newestBucket, bucket);
  }
}

function sum(counts: Uint32Array): number {
  return counts.reduce((total, count) => total + count, 0);
}
