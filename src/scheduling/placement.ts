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

import { paceCost } from "../cost/mod.ts";
import { backlogAt } from "./backlog.ts";
import { type Demand, type Prompt, privateTokensOf } from "./demand.ts";
import { candidatesOf } from "./engine_candidates.ts";
import * as engineCapacity from "./engine_capacity.ts";
import {
  type CopySource,
  copySourceFor,
  NO_SOURCE,
  ownersOf,
} from "./prefix_owners.ts";
import type { ServerLoad } from "./server_load.ts";

/** Weight of tokens to be prefilled; tokens of the backlog count once. */
const UNCACHED_TOKEN_WEIGHT = 2;
/**
 * Weight of tokens that would be copied from another engine: that takes
 * little time, but the copy takes cache space from other prefixes.
 */
const COPIED_TOKEN_WEIGHT = 1;
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
/** Cost of another zone at a plain server, in requests in flight. */
const OTHER_ZONE_COST_RUNS = 0.5;

/** The chosen server: it has capacity now, or permits can be requested. */
export interface Choice extends CopySource {
  readonly load: ServerLoad;
  /** Prompt tokens that it is expected to prefill. */
  readonly uncachedTokens: number;
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
  const usable = preferredLoads(loads, demand).filter(({ health }) =>
    health.isUsable(context.nowMs),
  );
  if (demand.prompt === null) return choosePlainServer(usable, context);
  return chooseEngine(
    demand,
    demand.prompt,
    healthyEngines(usable, context),
    context,
  );
}

/** Servers that it may be sent to, without those to avoid if others are left. */
function preferredLoads(
  loads: readonly ServerLoad[],
  demand: Demand,
): readonly ServerLoad[] {
  const eligible = loads.filter((load) => isEligible(load, demand));
  const preferred = eligible.filter(({ id }) => !demand.avoided.has(id));
  return preferred.length > 0 ? preferred : eligible;
}

/** Whether the request may be sent to the server, by load and health apart. */
export function isEligible(
  { id, server }: ServerLoad,
  { excluded, version, zones }: Demand,
): boolean {
  const isVersionAllowed = version === null || server.version === version;
  const isZoneAllowed = zones === null || zones.has(server.availabilityZone);
  return (
    server.state === "ready" &&
    !excluded.has(id) &&
    isVersionAllowed &&
    isZoneAllowed
  );
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
  const { nowMs } = context;
  const owners = ownersOf(prompt.parts, usable);
  const holders = new Set(owners.slice(0, Math.max(1, owners.length - 1)));
  let best: Choice | null = null;
  let bestCostMs = Number.POSITIVE_INFINITY;
  for (const load of candidatesOf(owners, {
    usable,
    demand,
    prompt,
    share: context.share,
  })) {
    const source = copySourceFor(load, prompt, { sources: owners, nowMs });
    const missingTokens = holders.has(load)
      ? ownTokensOf(prompt)
      : Math.max(0, prompt.inputTokens - load.cachedTokens(prompt, nowMs));
    const uncachedTokens = Math.min(
      missingTokens,
      Math.max(0, prompt.inputTokens - source.copiedTokens),
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
    const rate = Math.max(tokensPerMs, MIN_TOKENS_PER_MS);
    const { eventGapMs, objectiveMs } = demand;
    const costMs =
      weightedTokens / rate +
      paceCost.paceCostMs(
        { prefillMs: uncachedTokens / rate, eventGapMs },
        { streams: runs, objectiveMs },
      ) +
      runs * RUN_COST_MS +
      load.limitDelayMs(context.share) +
      load.failureShare(nowMs) * demand.objectiveMs;
    if (costMs >= bestCostMs) continue;
    best = { load, uncachedTokens, ...source };
    bestCostMs = costMs;
  }
  return best;
}

/**
 * Tokens of a prompt that its first owner has to prefill. It counts as having
 * the prefix even if this router has sent it none: requests of other routers
 * have put it into its cache.
 */
function ownTokensOf({ parts, inputTokens }: Prompt): number {
  return parts.at(-1)?.tokens ?? inputTokens;
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
