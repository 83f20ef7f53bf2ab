/** What a router expects in an engine's cache. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { PredictedCache } from "../../src/scheduling/predicted_cache.ts";
import { createPrompt } from "./demands.ts";

test("a cache tells for how long unused parts stay, once it has evicted one", () => {
  const cache = new PredictedCache(20_000);
  cache.note(createPrompt("a", "1"), 1_000);
  assert.equal(cache.lifetimeMs, null);
  cache.note(createPrompt("b", "2"), 4_000);
  assert.equal(cache.lifetimeMs, 3_000);
});

test("parts that weren't used for longer count as evicted", () => {
  const cache = new PredictedCache(1_000_000);
  cache.note(createPrompt("a", "1"), 1_000);
  cache.note(createPrompt("b", "2"), 4_000);
  const usedAfter = { usedAfterMs: 2_000 };
  assert.equal(cache.cachedTokens(createPrompt("a", "3"), usedAfter), 0);
  assert.equal(cache.cachedTokens(createPrompt("b", "3"), usedAfter), 9_000);
  assert.equal(cache.cachedTokens(createPrompt("a", "3")), 9_000);
});
