/** Estimates how long a retrying caller has already waited. */

/**
 * Longest timeout by route. Callers of a route usually start with the same
 * timeout, and one that retries sends what is left of it.
 */
export class CallerWaitEstimator {
  readonly #longestMs = new Map<string, number>();

  /**
   * Returns how long a caller has already waited, in milliseconds: the longest
   * timeout of its route less its own.
   */
  elapsedMs(route: string, waitMs: number): number {
    const longestMs = Math.max(this.#longestMs.get(route) ?? 0, waitMs);
    this.#longestMs.set(route, longestMs);
    return longestMs - waitMs;
  }
}
