/**
 * Chooses a server for one request.
 *
 * Answers a load of prompts that share long heads: reading a head anew costs
 * an engine many times the request's own part, so requests go where their
 * head is cached, and elsewhere only when that saves them time.
 */

import type { BackendServer } from "../directory/mod.ts";
import type { Demand, Prompt, PromptPart } from "./demand.ts";
import { privateTokensOf, sharedParts } from "./demand.ts";
import * as engineRoom from "./engine_room.ts";
import { rank } from "./rendezvous.ts";
import type { ServerLoad } from "./server_load.ts";

/**
 * Engines that a head may be read at. A second one takes over what the first
 * has no room for; more would crowd each other's caches.
 */
const OWNERS = 2;
/** Weight of tokens that would be read again for want of a cached head. */
const REREAD_WEIGHT = 2;
/**
 * Weight of tokens that would be copied: it takes little time, but the copy
 * takes room from other heads.
 */
const COPY_WEIGHT = 1;
/** Copying is worth its price once it is so many times faster than reading. */
const COPY_GAIN = 4;
const NO_SOURCE = { source: null, copiedTokens: 0 };
/** Requests at a plain server for each of its slots; more would queue there. */
const RUNS_PER_SLOT = 1;
/** Extra cost of a plain server that fails all requests, in runs. */
const FAILURE_COST_RUNS = 30;
/** Engines that fail more than this are left out while most others don't. */
export const LEFT_OUT_SHARE = 0.5;
/** Cost of a stream that runs: each lengthens the others' steps a little. */
const RUN_COST_MS = 1;
/** Keeps the cost of an engine that has stopped finite. */
const SLOWEST_TOKENS_PER_MS = 0.01;
/** Extra cost of a plain server in another availability zone, in runs. */
const OTHER_ZONE_COST_RUNS = 0.5;

/** A server that can take the request now, or whose gate can be asked. */
export interface Choice {
  readonly load: ServerLoad;
  /** Tokens that it is expected to read. */
  readonly uncachedTokens: number;
  /** From whose cache it can copy what it lacks; null for none. */
  readonly source: BackendServer | null;
  /** Tokens at the prompt's head that are believed to be there. */
  readonly copiedTokens: number;
}

/** Where the request stands. */
export interface Site {
  readonly availabilityZone: string;
  readonly nowMs: number;
  /** Share of each server that this router may use, 0 to 1. */
  readonly share: number;
}

/** Returns the best server with room; null when there is none. */
export function choose(
  demand: Demand,
  loads: readonly ServerLoad[],
  site: Site,
): Choice | null {
  const usable = loads.filter(
    ({ server, health }) =>
      server.state === "ready" &&
      !demand.excluded.has(server.id) &&
      health.isUsable(site.nowMs),
  );
  if (demand.prompt === null) return choosePlain(usable, site);
  return chooseEngine(demand, demand.prompt, soundOf(usable, site), site);
}

/** Without engines that fail; all of them when most do. */
function soundOf(
  usable: readonly ServerLoad[],
  { nowMs }: Site,
): readonly ServerLoad[] {
  const sound = usable.filter(
    (load) => load.failureShare(nowMs) <= LEFT_OUT_SHARE,
  );
  return sound.length * 2 >= usable.length ? sound : usable;
}

function choosePlain(
  usable: readonly ServerLoad[],
  { availabilityZone, nowMs, share }: Site,
): Choice | null {
  let best: ServerLoad | null = null;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const load of usable) {
    const { server, health } = load;
    const room = Math.max(1, server.slots * RUNS_PER_SLOT * share);
    const { runs } = load.own;
    if (runs >= room) continue;
    const far = server.availabilityZone === availabilityZone ? 0 : 1;
    const cost =
      runs +
      far * OTHER_ZONE_COST_RUNS +
      health.failureShare(nowMs) * FAILURE_COST_RUNS +
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
  site: Site,
): Choice | null {
  const owners = ownersOf(prompt.parts, usable);
  let best: Choice | null = null;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const [order, load] of owners.entries()) {
    const source = sourceFor(load, prompt, owners);
    const missingTokens = missingAt(load, prompt, order === 0);
    const uncachedTokens = Math.min(
      missingTokens,
      prompt.inputTokens - source.copiedTokens,
    );
    const isOpen =
      load.gate?.connected === true ||
      hasRoom(load, demand, { uncachedTokens, site });
    if (!isOpen) continue;
    const { tokens, runs, tokensPerMs } = aheadAt(load, site.share);
    const weighedTokens =
      tokens +
      uncachedTokens * REREAD_WEIGHT +
      (missingTokens - uncachedTokens) * COPY_WEIGHT;
    const cost =
      weighedTokens / Math.max(tokensPerMs, SLOWEST_TOKENS_PER_MS) +
      runs * RUN_COST_MS +
      load.failureShare(site.nowMs) * demand.objectiveMs;
    if (cost >= bestCost) continue;
    best = { load, uncachedTokens, ...source };
    bestCost = cost;
  }
  return best;
}

/**
 * Returns the engines at which a prompt's head may be read, the first choice
 * first; all of them for a prompt that shares nothing.
 */
export function ownersOf<T extends { readonly id: string }>(
  parts: readonly PromptPart[],
  usable: readonly T[],
): readonly T[] {
  const deepest = sharedParts(parts).at(-1);
  if (deepest === undefined) return usable;
  return rank(deepest.id, usable).slice(0, OWNERS);
}

/** Tokens that an engine doesn't have. */
function missingAt(load: ServerLoad, prompt: Prompt, isOwner: boolean): number {
  const own = prompt.parts.at(-1)?.tokens ?? prompt.inputTokens;
  // Other routers' requests have had the head read at its owner.
  if (isOwner) return own;
  return prompt.inputTokens - load.memory.cachedTokens(prompt);
}

function hasRoom(
  load: ServerLoad,
  { prompt, objectiveMs }: Demand,
  { uncachedTokens, site }: { uncachedTokens: number; site: Site },
): boolean {
  const { engine, rate } = load;
  if (engine === null || prompt === null) return true;
  return engineRoom.hasRoom(
    load.own,
    {
      uncachedTokens,
      privateTokens: privateTokensOf(prompt),
      objectiveMs,
    },
    {
      engine: { ...engine, tokensPerMs: rate.tokensPerMs },
      share: site.share,
    },
  );
}

/** What stands before a request at a server. */
function aheadAt(
  { own, gate, rate }: ServerLoad,
  share: number,
): { tokens: number; runs: number; tokensPerMs: number } {
  const report = gate?.report ?? null;
  if (report === null) {
    const tokens = own.unreadTokens / share;
    return { tokens, runs: own.runs, tokensPerMs: rate.tokensPerMs };
  }
  const { unreadTokens, askedTokens, runs, tokensPerMs } = report;
  return { tokens: unreadTokens + askedTokens, runs, tokensPerMs };
}

/** The other engine that heads like this one are read at. */
function sourceFor(
  load: ServerLoad,
  prompt: Prompt,
  owners: readonly ServerLoad[],
): Pick<Choice, "source" | "copiedTokens"> {
  const copiedTokensPerMs = load.engine?.copiedTokensPerMs ?? 0;
  const isWorthIt = copiedTokensPerMs >= load.rate.tokensPerMs * COPY_GAIN;
  const other = owners.find((owner) => owner !== load);
  if (!isWorthIt || other === undefined) return NO_SOURCE;
  const copiedTokens = other.memory.cachedTokens(prompt);
  return { source: other.server, copiedTokens };
}
