/** Decides among which engines one is chosen for a prompt. */

import { paceCost } from "../cost/mod.ts";
import type { Demand, Prompt } from "./demand.ts";
import { ownersOf } from "./prefix_owners.ts";
import { topRanked } from "./rendezvous.ts";
import type { ServerLoad } from "./server_load.ts";

/**
 * Share of its objective that a request may wait for the limits of its owners
 * before other engines are considered, too.
 */
const MAX_LIMIT_DELAY_SHARE = 0.3;
/**
 * Engines that are considered besides the owners where all engines name limits.
 * Each request has its own: all routers would ask the one with the shortest
 * queue in their reports, and its next slots would go to the first to ask.
 */
const LIMITED_CANDIDATES = 4;

/**
 * Returns the owners and, if they are at their limits, engines that the request
 * may go to instead: its owners among those without a limit, or any. A prompt
 * that would delay the streams at its owners may go to any engine: copying its
 * shared prefix is little work beside that of its own part.
 */
export function candidatesOf(
  owners: readonly ServerLoad[],
  {
    usable,
    demand,
    prompt,
    share,
  }: {
    readonly usable: readonly ServerLoad[];
    readonly demand: Demand;
    readonly prompt: Prompt;
    /** Share of each server that this router may use, 0 to 1. */
    readonly share: number;
  },
): ReadonlySet<ServerLoad> {
  if (isLongAt(owners, demand, prompt)) return new Set([...owners, ...usable]);
  const maxDelayMs = demand.objectiveMs * MAX_LIMIT_DELAY_SHARE;
  const isAtLimit = (load: ServerLoad) => load.limitDelayMs(share) > maxDelayMs;
  if (!owners.every(isAtLimit)) return new Set(owners);
  const unlimited = usable.filter(
    (load) => load.limitedCapacity(share) === null,
  );
  const others =
    unlimited.length > 0
      ? ownersOf(prompt.parts, unlimited)
      : topRanked(demand.requestId, usable, LIMITED_CANDIDATES);
  return new Set([...owners, ...others]);
}

/** Whether each owner takes so long for the prompt that its streams are late. */
function isLongAt(
  owners: readonly ServerLoad[],
  { eventGapMs }: Demand,
  { parts, inputTokens }: Prompt,
): boolean {
  const ownTokens = parts.at(-1)?.tokens ?? inputTokens;
  return owners.every((load) => {
    const tokensPerMs =
      load.admission?.report?.tokensPerMs ?? load.prefillRate.tokensPerMs;
    const prefillMs = ownTokens / tokensPerMs;
    return paceCost.delaysStreams({ prefillMs, eventGapMs });
  });
}
