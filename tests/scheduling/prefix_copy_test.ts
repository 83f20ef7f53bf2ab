/**
 * What callers get of two engines whose heads are asked for in bursts, with
 * and without copies between their caches.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { chooseServer } from "../../src/scheduling/placement.ts";
import { PromptMemory } from "../../src/scheduling/predicted_cache.ts";
import { ReadingRate } from "../../src/scheduling/prefill_rate.ts";
import { ServerLoad } from "../../src/scheduling/server_load.ts";
import { createServer } from "../support/servers.ts";
import { createDemand, createPrompt } from "./demands.ts";

const TOKENS_PER_MS = 40;
const CACHE_TOKENS = 400_000;
const OBJECTIVE_MS = 1_000;

/** An engine as it is, beside what the router knows of it. */
interface Engine {
  readonly load: ServerLoad;
  readonly cache: PromptMemory;
  busyUntilMs: number;
}

function createEngine(id: string, copiedTokensPerMs: number): Engine {
  const load = new ServerLoad(
    createServer({ id, service: "chat", host: id, slots: 64 }),
    { slots: 64, cacheTokens: CACHE_TOKENS, copiedTokensPerMs },
    { rate: new ReadingRate(TOKENS_PER_MS), gate: null },
  );
  return { load, cache: new PromptMemory(CACHE_TOKENS), busyUntilMs: 0 };
}

/**
 * Plays 20 s: each second another head is asked for 24 times, which is more
 * than its first owner reads in a second.
 */
function play(copiedTokensPerMs: number) {
  const engines = ["e1", "e2"].map((id) => createEngine(id, copiedTokensPerMs));
  const loads = engines.map(({ load }) => load);
  const pending: { atMs: number; done: () => void }[] = [];
  let readTokens = 0;
  let onTime = 0;
  let placed = 0;
  for (let nowMs = 0; nowMs < 20_000; nowMs += 5) {
    for (const one of pending.filter(({ atMs }) => atMs <= nowMs)) {
      pending.splice(pending.indexOf(one), 1);
      one.done();
    }
    const inBurst = nowMs % 1_000 < 120;
    if (!inBurst) continue;
    const head = `head-${Math.floor(nowMs / 1_000)}`;
    const prompt = createPrompt(head, `own-${nowMs}`);
    const demand = createDemand({ prompt, objectiveMs: OBJECTIVE_MS });
    const site = { availabilityZone: "a", nowMs, share: 1 };
    const choice = chooseServer(demand, loads, site);
    const engine = engines.find(({ load }) => load === choice?.load);
    if (choice === null || engine === undefined) continue;
    const other = engines.find((one) => one !== engine);
    const copied =
      choice.source === null ? 0 : (other?.cache.cachedTokens(prompt) ?? 0);
    const kept = Math.max(copied, engine.cache.cachedTokens(prompt));
    const tokens = prompt.inputTokens - kept;
    engine.cache.note(prompt);
    readTokens += tokens;
    placed += 1;
    const startMs = Math.max(nowMs, engine.busyUntilMs);
    engine.busyUntilMs = startMs + tokens / TOKENS_PER_MS;
    if (engine.busyUntilMs - nowMs <= OBJECTIVE_MS) onTime += 1;
    const { uncachedTokens } = choice;
    const run = choice.load.begin(prompt, { uncachedTokens, nowMs });
    pending.push({
      atMs: engine.busyUntilMs,
      done: () => {
        choice.load.notePrefillDone(run);
        choice.load.end(run);
      },
    });
  }
  return { readTokens, onTime, placed };
}

test("copied heads leave engines time for more callers", () => {
  const apart = play(0);
  const copying = play(2_500);
  const perRequest = ({ readTokens, placed }: typeof apart) =>
    readTokens / placed;
  // A request's own part is 1,000 tokens; its head is read at one engine.
  assert.ok(
    perRequest(copying) < perRequest(apart),
    `${perRequest(copying)} and ${perRequest(apart)} tokens read a request`,
  );
  assert.ok(
    copying.onTime > apart.onTime,
    `${copying.onTime} on time with copies, ${apart.onTime} without`,
  );
});
