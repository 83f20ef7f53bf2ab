/**
 * Chooses a server for one request.
 *
 * Prompts share long prefixes, and prefilling a prefix again costs an engine
 * many times the work of the request's own part. Requests therefore go where
 * their prefix is cached, and elsewhere only if that is faster.
 *
 * A server of a service with a model is called an engine here; one of a service
 * without a model is a plain server.
 */

import type { BackendServer } from "../directory/mod.ts";
import type { Demand, Prompt, PromptPart } from "./demand.ts";
import { privateTokensOf, sharedParts } from "./demand.ts";
import * as engineCapacity from "./engine_capacity.ts";
import { rank, rankOnce } from "./rendezvous.ts";
import type { ServerLoad } from "./server_load.ts";

/**
 * Engines that may prefill and cache one prefix. A second one takes what the
 * first has no capacity for; more copies would evict other prefixes.
 */
const OWNERS_PER_PREFIX = 2;
/** Weight of tokens to be prefilled; tokens of the backlog count once. */
const UNCACHED_TOKEN_WEIGHT = 2;
/**
 * Weight of tokens that would be copied from another engine: that takes
 * little time, but the copy takes cache space from other prefixes.
 */
const COPIED_TOKEN_WEIGHT = 1;
/** Prefixes are copied only if that is so many times faster than prefill. */
const MIN_COPY_SPEEDUP = 4;
const NO_SOURCE = { source: null, copiedTokens: 0 };
/** Requests per slot of a plain server; more would queue at the server. */
const RUNS_PER_SLOT = 1;
/** Cost of a failure share of 1 at a plain server, in requests in flight. */
const FAILURE_COST_RUNS = 30;
/**
 * Engines with a larger failure share get no requests, as long as at least
 * half of the engines are below it.
 */
export const MAX_FAILURE_SHARE = 0.5;
/** Cost of each request in flight: it slows down the decoding of the others. */
const RUN_COST_MS = 1;
/** Lower bound that keeps the cost of a stalled engine finite. */
const MIN_TOKENS_PER_MS = 0.01;
/**
 * Share of its objective that a request may wait for its owners, by their limits
 * or their prefill backlogs, before other engines are considered, too.
 */
const MAX_OWNER_DELAY_SHARE = 0.3;
/**
 * Engines that are considered besides the owners when these are busy: the next
 * ones by rank, so that copies of a prefix stay on few engines.
 */
const SPARE_OWNERS = 16;
/**
 * Engines that are considered besides the owners where all engines name limits.
 * Each request has its own: all routers would ask the one with the shortest
 * queue in their reports, and its next slots would go to the first to ask.
 */
const LIMITED_CANDIDATES = 4;
/** Cost of another zone at a plain server, in requests in flight. */
const OTHER_ZONE_COST_RUNS = 0.5;

/** The chosen server: it has capacity now, or permits can be requested. */
export interface Choice {
  readonly load: ServerLoad;
  /** Prompt tokens that it is expected to prefill. */
  readonly uncachedTokens: number;
  /** Server whose cache it can copy the missing prefix from; null for none. */
  readonly source: BackendServer | null;
  /** Prefix tokens that are expected in the cache of `source`. */
  readonly copiedTokens: number;
}

/** What the choice depends on besides the request and the servers. */
export interface PlacementContext {
  readonly availabilityZone: string;
  readonly nowMs: number;
  /** Share of each server that this router may use, 0 to 1. */
  readonly share: number;
}

/** Returns the best server with capacity; null if there is none. */
export function chooseServer(
  demand: Demand,
  loads: readonly ServerLoad[],
  context: PlacementContext,
): Choice | null {
  const usable = loads.filter(
    (load) => isEligible(load, demand) && load.health.isUsable(context.nowMs),
  );
  if (demand.prompt === null) return choosePlainServer(usable, context);
  return chooseEngine(
    demand,
    demand.prompt,
    healthyEngines(usable, context),
    context,
  );
}

/** Whether the request may be sent to the server, by load and health apart. */
export function isEligible(
  { id, server }: ServerLoad,
  { excluded, version }: Demand,
): boolean {
  const isVersionAllowed = version === null || server.version === version;
  return server.state === "ready" && !excluded.has(id) && isVersionAllowed;
}

/**
 * Returns the owners and, if they are busy or at their limits, engines that the
 * request may go to instead.
 */
function candidatesOf(
  owners: readonly ServerLoad[],
  {
    usable,
    demand,
    prompt,
    context: { share },
  }: {
    readonly usable: readonly ServerLoad[];
    readonly demand: Demand;
    readonly prompt: Prompt;
    readonly context: PlacementContext;
  },
): ReadonlySet<ServerLoad> {
  const maxDelayMs = demand.objectiveMs * MAX_OWNER_DELAY_SHARE;
  const isAtLimit = (load: ServerLoad) => load.limitDelayMs(share) > maxDelayMs;
  const isBusy = (load: ServerLoad) => {
    const { tokens, tokensPerMs } = backlogAt(load, share);
    return tokens > tokensPerMs * maxDelayMs;
  };
  if (!owners.every((load) => isAtLimit(load) || isBusy(load)))
    return new Set(owners);
  if (!owners.every(isAtLimit))
    return new Set([...owners, ...spareOwnersOf(prompt, usable, owners)]);
  const unlimited = usable.filter(
    (load) => load.limitedCapacity(share) === null,
  );
  const others =
    unlimited.length > 0
      ? ownersOf(prompt.parts, unlimited)
      : rankOnce(demand.requestId, usable).slice(0, LIMITED_CANDIDATES);
  return new Set([...owners, ...others]);
}

/**
 * Leaves out engines that fail requests. Returns all if most of them do: the
 * cause is then hardly in the engines.
 */
function healthyEngines(
  usable: readonly ServerLoad[],
  { nowMs }: PlacementContext,
): readonly ServerLoad[] {
  const healthy = usable.filter(
    (load) => load.failureShare(nowMs) <= MAX_FAILURE_SHARE,
  );
  return healthy.length * 2 >= usable.length ? healthy : usable;
}

function choosePlainServer(
  usable: readonly ServerLoad[],
  { availabilityZone, nowMs, share }: PlacementContext,
): Choice | null {
  let best: ServerLoad | null = null;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const load of usable) {
    const { server, health } = load;
    const maxRuns = Math.max(1, server.slots * RUNS_PER_SLOT * share);
    const { runs } = load.ownWork;
    if (runs >= maxRuns || load.limitDelayMs(share) > 0) continue;
    const otherZone = server.availabilityZone === availabilityZone ? 0 : 1;
    const cost =
      runs +
      otherZone * OTHER_ZONE_COST_RUNS +
      health.failureShare(nowMs) * FAILURE_COST_RUNS +
      // Spreads requests over servers of nearly equal cost.
      Math.random() / 2;
    if (cost >= bestCost) continue;
    best = load;
    bestCost = cost;
  }
  return best === null ? null : { load: best, uncachedTokens: 0, ...NO_SOURCE };
}

function chooseEngine(
  demand: Demand,
  prompt: Prompt,
  usable: readonly ServerLoad[],
  context: PlacementContext,
): Choice | null {
  const owners = ownersOf(prompt.parts, usable);
  let best: Choice | null = null;
  let bestCostMs = Number.POSITIVE_INFINITY;
  for (const load of candidatesOf(owners, {
    usable,
    demand,
    prompt,
    context,
  })) {
    const source = copySourceFor(load, prompt, owners);
    const missingTokens = missingTokensAt(load, prompt, load === owners[0]);
    const uncachedTokens = Math.min(
      missingTokens,
      prompt.inputTokens - source.copiedTokens,
    );
    const canAccept =
      load.needsPermit ||
      (load.limitDelayMs(context.share) === 0 &&
        hasCapacity(load, demand, { uncachedTokens, context }));
    if (!canAccept) continue;
    const { tokens, runs, tokensPerMs } = backlogAt(load, context.share);
    const weightedTokens =
      tokens +
      uncachedTokens * UNCACHED_TOKEN_WEIGHT +
      (missingTokens - uncachedTokens) * COPIED_TOKEN_WEIGHT;
    const costMs =
      weightedTokens / Math.max(tokensPerMs, MIN_TOKENS_PER_MS) +
      runs * RUN_COST_MS +
      load.limitDelayMs(context.share) +
      load.failureShare(context.nowMs) * demand.objectiveMs;
    if (costMs >= bestCostMs) continue;
    best = { load, uncachedTokens, ...source };
    bestCostMs = costMs;
  }
  return best;
}

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
  return rank(lastShared.id, usable).slice(0, OWNERS_PER_PREFIX);
}

/**
 * Engines that can serve a prompt while its owners are busy: those that have its
 * prefix or can copy it. Prefilling it once more would make all of them busier.
 */
function spareOwnersOf(
  prompt: Prompt,
  usable: readonly ServerLoad[],
  owners: readonly ServerLoad[],
): readonly ServerLoad[] {
  const shared = sharedParts(prompt.parts);
  const lastShared = shared.at(-1);
  if (lastShared === undefined) return [];
  const prefixTokens = shared.reduce((sum, { tokens }) => sum + tokens, 0);
  const end = OWNERS_PER_PREFIX + SPARE_OWNERS;
  return rank(lastShared.id, usable)
    .slice(OWNERS_PER_PREFIX, end)
    .filter((load) => {
      const { copiedTokens } = copySourceFor(load, prompt, owners);
      const cachedTokens = load.predictedCache.cachedTokens(prompt);
      return Math.max(copiedTokens, cachedTokens) >= prefixTokens;
    });
}

/** Prompt tokens that aren't expected in an engine's cache. */
function missingTokensAt(
  load: ServerLoad,
  prompt: Prompt,
  isFirstOwner: boolean,
): number {
  const ownTokens = prompt.parts.at(-1)?.tokens ?? prompt.inputTokens;
  // The first owner counts as having the prefix even if this router has sent
  // it none: requests of other routers have put it into its cache.
  if (isFirstOwner) return ownTokens;
  return prompt.inputTokens - load.predictedCache.cachedTokens(prompt);
}

function hasCapacity(
  load: ServerLoad,
  { prompt, objectiveMs }: Demand,
  {
    uncachedTokens,
    context,
  }: { uncachedTokens: number; context: PlacementContext },
): boolean {
  const { engine, prefillRate } = load;
  if (engine === null || prompt === null) return true;
  return engineCapacity.hasCapacity(
    load.ownWork,
    {
      uncachedTokens,
      privateTokens: privateTokensOf(prompt),
      objectiveMs,
    },
    {
      engine: { ...engine, tokensPerMs: prefillRate.tokensPerMs },
      share: context.share,
    },
  );
}

/** Work that an engine has to do before a new request. */
function backlogAt(
  { ownWork, admission, prefillRate }: ServerLoad,
  share: number,
): { tokens: number; runs: number; tokensPerMs: number } {
  const report = admission?.report ?? null;
  if (report === null) {
    // Without a report, other routers are assumed to send as much as this one.
    const tokens = ownWork.unreadTokens / share;
    return { tokens, runs: ownWork.runs, tokensPerMs: prefillRate.tokensPerMs };
  }
  const { unreadTokens, askedTokens, runs, tokensPerMs } = report;
  return { tokens: unreadTokens + askedTokens, runs, tokensPerMs };
}

/** Another owner of the prefix, if copying from its cache is fast enough. */
function copySourceFor(
  load: ServerLoad,
  prompt: Prompt,
  sources: readonly ServerLoad[],
): Pick<Choice, "source" | "copiedTokens"> {
  const copiedTokensPerMs = load.engine?.copiedTokensPerMs ?? 0;
  const isFastEnough =
    copiedTokensPerMs >= load.prefillRate.tokensPerMs * MIN_COPY_SPEEDUP;
  if (!isFastEnough) return NO_SOURCE;
  let best: Pick<Choice, "source" | "copiedTokens"> = NO_SOURCE;
  for (const { server, predictedCache } of sources) {
    if (server.id === load.id) continue;
    const copiedTokens = predictedCache.cachedTokens(prompt);
    if (best.source === null || copiedTokens > best.copiedTokens)
      best = { source: server, copiedTokens };
  }
  return best;
}
