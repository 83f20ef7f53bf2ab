/** Predicts which prompt parts an engine has in its KV cache. */

import type { Prompt } from "./demand.ts";

/** Share of an engine's cache that is assumed to hold prompt parts. */
const USABLE_CACHE_SHARE = 0.9;

/** LRU model of one engine's cache, bounded by the size of that cache. */
export class PredictedCache {
  readonly #capacityTokens: number;
  readonly #tokensByPart = new Map<string, number>();
  #tokens = 0;

  /** @param cacheTokens tokens that the engine's cache holds */
  constructor(cacheTokens: number) {
    this.#capacityTokens = cacheTokens * USABLE_CACHE_SHARE;
  }

  /** Prefix tokens of a prompt that are expected to be cached. */
  cachedTokens({ parts }: Pick<Prompt, "parts">): number {
    let cached = 0;
    for (const { id } of parts) {
      const tokens = this.#tokensByPart.get(id);
      // A part can be reused only if all parts before it are cached.
      if (tokens === undefined) return cached;
      cached += tokens;
    }
    return cached;
  }

  /** Records that the engine prefills a prompt. */
  note({ parts }: Pick<Prompt, "parts">): void {
    for (const { id, tokens } of parts) {
      this.#tokens += tokens - (this.#tokensByPart.get(id) ?? 0);
      this.#tokensByPart.delete(id);
      this.#tokensByPart.set(id, tokens);
    }
    for (const [id, tokens] of this.#tokensByPart) {
      if (this.#tokens <= this.#capacityTokens) return;
      this.#tokensByPart.delete(id);
      this.#tokens -= tokens;
    }
  }
}
