/** Predicts which prompt parts an engine has in its KV cache. */

import type { Prompt } from "./demand.ts";

/** Share of an engine's cache that is assumed to hold prompt parts. */
const USABLE_CACHE_SHARE = 0.9;

/** A part that is expected in the cache. */
interface CachedPart {
  readonly tokens: number;
  /** Monotonic time of its last use. */
  readonly usedAtMs: number;
}

/** LRU model of one engine's cache, bounded by the size of that cache. */
export class PredictedCache {
  readonly #capacityTokens: number;
  /** In order of their last use. */
  readonly #parts = new Map<string, CachedPart>();
  #tokens = 0;
  #lifetimeMs: number | null = null;

  /** @param cacheTokens tokens that the engine's cache holds */
  constructor(cacheTokens: number) {
    this.#capacityTokens = cacheTokens * USABLE_CACHE_SHARE;
  }

  /**
   * Time for which the part that was evicted last had not been used; null if
   * none was evicted.
   */
  get lifetimeMs(): number | null {
    return this.#lifetimeMs;
  }

  /**
   * Prefix tokens of a prompt that are expected to be cached.
   *
   * @param usedAfterMs parts that were last used before this monotonic time are
   *   expected to be evicted
   */
  cachedTokens(
    { parts }: Pick<Prompt, "parts">,
    { usedAfterMs }: { readonly usedAfterMs: number } = NEVER_EVICTED,
  ): number {
    let cached = 0;
    for (const { id, tokens } of parts) {
      const part = this.#parts.get(id);
      // A part can be reused only if all parts before it are cached.
      if (part === undefined || part.usedAtMs < usedAfterMs) return cached;
      // Callers state the tokens, and may state others for the same part.
      cached += Math.min(part.tokens, tokens);
    }
    return cached;
  }

  /** Records that the engine prefills a prompt at a monotonic time. */
  note({ parts }: Pick<Prompt, "parts">, nowMs: number): void {
    for (const { id, tokens } of parts) {
      this.#tokens += tokens - (this.#parts.get(id)?.tokens ?? 0);
      this.#parts.delete(id);
      this.#parts.set(id, { tokens, usedAtMs: nowMs });
    }
    for (const [id, { tokens, usedAtMs }] of this.#parts) {
      if (this.#tokens <= this.#capacityTokens) return;
      this.#parts.delete(id);
      this.#tokens -= tokens;
      this.#lifetimeMs = nowMs - usedAtMs;
    }
  }
}

const NEVER_EVICTED = { usedAfterMs: Number.NEGATIVE_INFINITY };
