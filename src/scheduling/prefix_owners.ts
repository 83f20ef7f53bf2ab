/** Finds the engines that hold the shared prefix of a prompt, or can copy it. */

import { type EngineDemand, ownerCount } from "../cost/mod.ts";
import type { BackendServer } from "../directory/mod.ts";
import { type Prompt, type PromptPart, sharedParts } from "./demand.ts";
import { topRanked } from "./rendezvous.ts";
import type { ServerLoad } from "./server_load.ts";

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

/** An engine that may own a prefix. */
export interface PossibleOwner {
  readonly id: string;
  /** Demand for parts of prompts that it has reported; null before a report. */
  readonly demand: EngineDemand | null;
}

/**
 * Returns the engines that own a prompt's shared prefix, the preferred one
 * first: the more, the more of an engine its requests take. A prompt that
 * shares nothing may go to any of the engines.
 */
export function ownersOf<T extends PossibleOwner>(
  parts: readonly PromptPart[],
  usable: readonly T[],
): readonly T[] {
  const lastShared = sharedParts(parts).at(-1);
  if (lastShared === undefined) return usable;
  const count = ownerCount(
    lastShared.id,
    usable.map(({ demand }) => demand),
  );
  return topRanked(lastShared.id, usable, count);
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
