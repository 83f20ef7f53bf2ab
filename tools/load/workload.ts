/** Generates load: open loop (Poisson arrivals) or with fixed concurrency. */

import { sleep } from "../../src/common/promises.ts";
import { type CallResult, chat, send } from "./caller.ts";
import { Random } from "./random.ts";

/** The load of one team on one service. */
export interface TeamLoad {
  readonly team: string;
  readonly key: string;
  /** Weight of the team's contract, for normalised service. */
  readonly weight: number;
  readonly service: string;
  readonly type: "model" | "plain";
  readonly ratePerSecond: number;
  readonly kind: string;
  readonly promptCharacters: readonly [low: number, high: number];
  readonly tokens: readonly [low: number, high: number];
  /** Largest factor by which cost hints are off; 0 sends no hint. */
  readonly hintError: number;
  /** Alternates between sending and pausing for so long; 0: no pauses. */
  readonly onOffMs?: number;
}

/** Service that a team received at a point in time. */
export interface ServiceSample {
  readonly atMs: number;
  /** Normalised: cost divided by the team's weight. */
  readonly amount: number;
}

/** A call with its result, its cost and the service that it received. */
export interface LoadRecord {
  readonly load: TeamLoad;
  readonly result: CallResult;
  readonly cost: number;
  readonly service: readonly ServiceSample[];
}

/** How requests are charged; matches the meter of the teams' contracts. */
export interface Pricing {
  readonly type: "tokens" | "completed";
  readonly promptWeight: number;
  readonly weightByKind: Readonly<Record<string, number>>;
}

/** Options of a load. */
export interface LoadOptions {
  readonly routerUrls: readonly string[];
  /** Relative share of the requests for each router. */
  readonly routerWeights: readonly number[];
  readonly durationMs: number;
  readonly seed: number;
  readonly pricing: Pricing;
  /** Whether chat requests ask for streams rather than whole answers. */
  readonly stream: boolean;
}

const CHARACTERS_PER_TOKEN = 4;

/**
 * Sends the loads as Poisson arrivals that don't wait for answers; resolves
 * once every call has ended.
 */
export async function runOpenLoop(
  loads: readonly TeamLoad[],
  options: LoadOptions,
): Promise<LoadRecord[]> {
  const calls: Promise<LoadRecord>[] = [];
  const startMs = performance.now();
  const arrivals = loads.map((load, index) =>
    sendArrivals(load, new Random(options.seed * 1_000 + index), {
      startMs,
      options,
      emit: (call) => calls.push(call),
    }),
  );
  await Promise.all(arrivals);
  return await Promise.all(calls);
}

/** Keeps `concurrency` requests of each load in flight. */
export async function runClosedLoop(
  loads: readonly TeamLoad[],
  options: LoadOptions,
  { concurrency }: { readonly concurrency: number },
): Promise<LoadRecord[]> {
  const untilMs = performance.now() + options.durationMs;
  const records: LoadRecord[] = [];
  const loops = loads.flatMap((load, index) => {
    const random = new Random(options.seed * 1_000 + index);
    let number = 0;
    const loop = async () => {
      while (performance.now() < untilMs) {
        number += 1;
        records.push(await sendOne(load, random, { options, number }));
      }
    };
    return Array.from({ length: concurrency }, loop);
  });
  await Promise.all(loops);
  return records;
}

interface Arrivals {
  readonly startMs: number;
  readonly options: LoadOptions;
  readonly emit: (call: Promise<LoadRecord>) => void;
}

async function sendArrivals(
  load: TeamLoad,
  random: Random,
  { startMs, options, emit }: Arrivals,
): Promise<void> {
  let atMs = random.interval(load.ratePerSecond);
  for (let number = 0; atMs < options.durationMs; number += 1) {
    await sleep(Math.max(0, startMs + atMs - performance.now()));
    emit(sendOne(load, random, { options, number }));
    atMs += random.interval(load.ratePerSecond);
    atMs = skipPause(load.onOffMs ?? 0, atMs);
  }
}

function skipPause(onOffMs: number, atMs: number): number {
  if (onOffMs === 0 || Math.floor(atMs / onOffMs) % 2 === 0) return atMs;
  return Math.ceil(atMs / onOffMs) * onOffMs;
}

async function sendOne(
  load: TeamLoad,
  random: Random,
  {
    options,
    number,
  }: { readonly options: LoadOptions; readonly number: number },
): Promise<LoadRecord> {
  const url = random.pick(options.routerUrls, options.routerWeights);
  const tokens = random.between(...load.tokens);
  const length = random.between(...load.promptCharacters);
  const prompt = `${load.team} ${number} `.padEnd(length, "lorem ipsum ");
  const cost = costOf(load, { tokens, prompt }, options.pricing);
  const headers = {
    "oriole-kind": load.kind,
    ...costHintHeader(load, cost, random),
  };
  const service: ServiceSample[] = [];
  const add = (amount: number, atMs: number) =>
    service.push({ atMs, amount: amount / load.weight });
  const meteredByToken = options.pricing.type === "tokens" && options.stream;
  const result =
    load.type === "model"
      ? await chat({
          ...{ url, key: load.key, model: load.service, prompt, headers },
          maxTokens: tokens,
          stream: options.stream,
          onChunk: (events, nowMs) => {
            if (meteredByToken) add(events, nowMs);
          },
        })
      : await send(`${url}/services/${load.service}/orders/${number}`, {
          ...{ method: "POST", key: load.key, body: prompt, headers },
        });
  if (!meteredByToken && result.type === "answered") add(cost, result.endedMs);
  return { load, result, cost, service };
}

function costOf(
  load: TeamLoad,
  { tokens, prompt }: { readonly tokens: number; readonly prompt: string },
  pricing: Pricing,
): number {
  if (pricing.type === "completed") return pricing.weightByKind[load.kind] ?? 1;
  const promptTokens = prompt.length / CHARACTERS_PER_TOKEN;
  return tokens + pricing.promptWeight * promptTokens;
}

function costHintHeader(
  { hintError }: TeamLoad,
  cost: number,
  random: Random,
): Record<string, string> {
  if (hintError === 0) return {};
  const factor = hintError ** (random.next() * 2 - 1);
  return { "oriole-cost-hint": (cost * factor).toFixed(1) };
}
