/** Pseudo-random numbers, reproducible by seed. */

const INCREMENT = 0x6d2b79f5;
const RANGE = 2 ** 32;

/** A generator of the mulberry32 family. */
export class Random {
  #state: number;

  constructor(seed: number) {
    this.#state = seed >>> 0;
  }

  /** Returns a number from 0 (included) to 1 (excluded). */
  next(): number {
    this.#state = (this.#state + INCREMENT) >>> 0;
    let mixed = this.#state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / RANGE;
  }

  /** Returns an integer from `low` to `high`, both included. */
  between(low: number, high: number): number {
    return low + Math.floor(this.next() * (high - low + 1));
  }

  /** Returns the milliseconds to the next arrival of a Poisson process. */
  interval(perSecond: number): number {
    return (-Math.log(1 - this.next()) * 1_000) / perSecond;
  }

  /** Returns one of the values, each as likely as its weight says. */
  pick<T>(values: readonly T[], weights: readonly number[]): T {
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    let left = this.next() * total;
    for (const [index, value] of values.entries()) {
      left -= weights[index] ?? 0;
      if (left < 0) return value;
    }
    return values.at(-1) as T;
  }
}
