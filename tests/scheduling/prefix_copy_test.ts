/**
 * Guards against copies between caches that save no work: bursts of requests
 * with a common prefix arrive at two engines, with and without copying.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { chooseServer } from "../../src/scheduling/placement.ts";
import { PredictedCache } from "../../src/scheduling/predicted_cache.ts";
import { PrefillRate } from "../../src/scheduling/prefill_rate.ts";
import { ServerLoad } from "../../src/scheduling/server_load.ts";
import { createManualClock } from "../support/manual_clock.ts";
import { createServer } from "../support/servers.ts";
import { createDemand, createPrompt } from "./demands.ts";

const TOKENS_PER_MS = 40;
const CACHE_TOKENS = 400_000;
const OBJECTIVE_MS = 1_000;

/** A simulated engine: the router's view of it and its real state. */
interface Engine {
  readonly load: ServerLoad;
  readonly cache: PredictedCache;
  busyUntilMs: number;
}

function createEngine(id: string, copiedTokensPerMs: number): Engine {
  const load = new ServerLoad(
    createServer({ id, service: "chat", host: id, slots: 64 }),
    { slots: 64, cacheTokens: CACHE_TOKENS, copiedTokensPerMs },
    {
      clock: createManualClock(),
      rate: new PrefillRate(TOKENS_PER_MS),
      admission: null,
    },
  );
  return { load, cache: new PredictedCache(CACHE_TOKENS), busyUntilMs: 0 };
}

/**
 * Simulates 20 s. Each second, 24 requests with a new prefix arrive: more
 * than the prefix's first owner can prefill in a second.
 */
function simulate(copiedTokensPerMs: number) {
  const engines = ["e1", "e2"].map((id) => createEngine(id, copiedTokensPerMs));
  const loads = engines.map(({ load }) => load);
  const pending: { atMs: number; done: () => void }[] = [];
  let prefilledTokens = 0;
  let onTime = 0;
  let placed = 0;
  for (let nowMs = 0; nowMs < 20_000; nowMs += 5) {
    for (const one of pending.filter(({ atMs }) => atMs <= nowMs)) {
      pending.splice(pending.indexOf(one), 1);
      one.done();
    }
    const inBurst = nowMs % 1_000 < 120;
    if (!inBurst) continue;
    const prefix = `head-${Math.floor(nowMs / 1_000)}`;
    const prompt = createPrompt(prefix, `own-${nowMs}`);
    const demand = createDemand({ prompt, objectiveMs: OBJECTIVE_MS });
    const context = { availabilityZone: "a", nowMs, share: 1 };
    const choice = chooseServer(demand, loads, context);
    const engine = engines.find(({ load }) => load === choice?.load);
    if (choice === null || engine === undefined) continue;
    const other = engines.find((one) => one !== engine);
    const copied =
      choice.source === null ? 0 : (other?.cache.cachedTokens(prompt) ?? 0);
    const cached = Math.max(copied, engine.cache.cachedTokens(prompt));
    const tokens = prompt.inputTokens - cached;
    engine.cache.note(prompt, nowMs);
    prefilledTokens += tokens;
    placed += 1;
    const startMs = Math.max(nowMs, engine.busyUntilMs);
    engine.busyUntilMs = startMs + tokens / TOKENS_PER_MS;
    if (engine.busyUntilMs - nowMs <= OBJECTIVE_MS) onTime += 1;
    const { uncachedTokens } = choice;
    const run = choice.load.begin(prompt, { uncachedTokens, nowMs });
    pending.push({
      atMs: engine.busyUntilMs,
      done: () => {
        choice.load.markPrefilled(run);
        choice.load.end(run);
      },
    });
  }
  return { prefilledTokens, onTime, placed };
}

test("copying prefixes lets engines serve more requests in time", () => {
  const separate = simulate(0);
  const copying = simulate(2_500);
  const perRequest = ({ prefilledTokens, placed }: typeof separate) =>
    prefilledTokens / placed;
  // A request has 1,000 tokens of its own. With copies, only one engine
  // prefills its prefix.
  assert.ok(
    perRequest(copying) < perRequest(separate),
    `${perRequest(copying)} and ${perRequest(separate)} tokens a request`,
  );
  assert.ok(
    copying.onTime > separate.onTime,
    `${copying.onTime} on time with copies, ${separate.onTime} without`,
  );
});
