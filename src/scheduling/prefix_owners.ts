/** Finds the engines that hold the shared prefix of a prompt, or can copy it. */

import type { BackendServer } from "../directory/mod.ts";
import { type Prompt, type PromptPart, sharedParts } from "./demand.ts";
import { topRanked } from "./rendezvous.ts";
import type { ServerLoad } from "./server_load.ts";

/**
 * Engines that may prefill and cache one prefix. A second one takes what the
 * first has no capacity for; more copies would evict other prefixes.
 */
const OWNERS_PER_PREFIX = 2;
/** Prefixes are copied only if that is so many times faster than prefill. */
const MIN_COPY_SPEEDUP = 4;

/** Where an engine can copy a prefix from. */
export interface CopySource {
  /** Server whose cache it can copy the missing prefix from; null for none. */
  readonly source: BackendServer | null;
  /** Prefix tokens that are expected in the cache of `source`. */
  readonly copiedTokens: number;
}

/** Nothing is copied. */
export const NO_SOURCE: CopySource = { source: null, copiedTokens: 0 };

/**
 * Returns the engines that own a prompt's shared prefix, the preferred one
 * first. A prompt that shares nothing may go to any of the engines.
 */
export function ownersOf<T extends { readonly id: string }>(
  parts: readonly PromptPart[],
  usable: readonly T[],
): readonly T[] {
  const lastShared = sharedParts(parts).at(-1);
  if (lastShared === undefined) return usable;
  return topRanked(lastShared.id, usable, OWNERS_PER_PREFIX);
}

/** Another owner of the prefix, if copying from its cache is fast enough. */
export function copySourceFor(
  load: ServerLoad,
  prompt: Prompt,
  {
    sources,
    nowMs,
  }: { readonly sources: readonly ServerLoad[]; readonly nowMs: number },
): CopySource {
  const copiedTokensPerMs = load.engine?.copiedTokensPerMs ?? 0;
  const isFastEnough =
    copiedTokensPerMs >= load.prefillRate.tokensPerMs * MIN_COPY_SPEEDUP;
  if (!isFastEnough) return NO_SOURCE;
  let best: CopySource = NO_SOURCE;
  for (const source of sources) {
    if (source.id === load.id) continue;
    const copiedTokens = source.cachedTokens(prompt, nowMs);
    if (best.source === null || copiedTokens > best.copiedTokens)
      best = { source: source.server, copiedTokens };
  }
  return best;
}
