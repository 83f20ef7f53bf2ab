/** Decides whether an engine has capacity for one more request. */

import type { Work } from "./work.ts";

/** Limits and speed of an engine. */
export interface EngineCapacity {
  /** Requests that it runs at once. */
  readonly slots: number;
  /** Tokens that its KV cache holds. */
  readonly cacheTokens: number;
  /** Prefill rate, in tokens/ms. */
  readonly tokensPerMs: number;
}

/** Load that a request would add to an engine. */
export interface AddedLoad {
  /** Prompt tokens that must be prefilled. */
  readonly uncachedTokens: number;
  /** Tokens of KV cache that it needs beyond the shared prefix. */
  readonly privateTokens: number;
  /** Target time to its first token. */
  readonly objectiveMs: number;
}

/**
 * Share of a request's objective that the prefill backlog of an engine may
 * take. Engines prefill in order of arrival: a request in the backlog can
 * neither be overtaken by a team with less usage nor be withdrawn.
 */
const PREFILL_BACKLOG_SHARE = 0.35;
/**
 * Share of an engine's KV cache that tokens not shared between requests may
 * fill. The rest keeps prompt prefixes, which make later requests cheap.
 */
const PRIVATE_CACHE_SHARE = 0.5;

/**
 * Returns whether an engine with the given work can take the request.
 *
 * @param share part of the engine that the caller may use, 0 to 1
 */
export function hasCapacity(
  work: Work,
  { uncachedTokens, privateTokens, objectiveMs }: AddedLoad,
  {
    engine,
    share,
  }: { readonly engine: EngineCapacity; readonly share: number },
): boolean {
  const slots = Math.max(1, Math.floor(engine.slots * share));
  if (work.runs >= slots) return false;
  const maxPrivateTokens = engine.cacheTokens * PRIVATE_CACHE_SHARE * share;
  const isFull = work.privateTokens + privateTokens > maxPrivateTokens;
  if (work.runs > 0 && isFull) return false;
  // A request longer than the limit is accepted if there is no backlog.
  if (work.unreadTokens === 0) return true;
  const maxBacklogTokens =
    objectiveMs * PREFILL_BACKLOG_SHARE * engine.tokensPerMs * share;
  return work.unreadTokens + uncachedTokens <= maxBacklogTokens;
}
