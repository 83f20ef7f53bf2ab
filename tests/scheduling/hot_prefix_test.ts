/**
 * Plays requests of which many share one prefix, at routers that each see a
 * small part of them and whose reports are old, and checks what callers get.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { Fleet, type Outcome, OWN_TOKENS } from "./played_fleet.ts";

/** Holds the prefixes of an engine, and its own prompts of 14 s. */
const LARGE_CACHE_TOKENS = 400_000;
/** Evicts a part that isn't used for a few seconds. */
const SMALL_CACHE_TOKENS = 130_000;

function share({ onTime, asked }: Outcome): number {
  return onTime / asked;
}

for (const hotShare of [0, 0.1, 0.25, 0.5]) {
  test(`95 in 100 are on time with ${hotShare} of them sharing a prefix`, () => {
    const outcome = new Fleet(LARGE_CACHE_TOKENS).play({
      utilization: 0.7,
      hotShare,
    });
    assert.ok(share(outcome) >= 0.95, JSON.stringify(outcome));
    // Prefixes are copied to other engines, not prefilled again there.
    const { tokensPerRequest } = outcome;
    assert.ok(tokensPerRequest < OWN_TOKENS * 1.1, `${tokensPerRequest}`);
  });
}

test("engines stay in use when far more is asked than they can prefill", () => {
  const utilization = 1.4;
  const outcome = new Fleet(LARGE_CACHE_TOKENS).play({
    utilization,
    hotShare: 0.25,
  });
  const usable = 1 / utilization;
  assert.ok(share(outcome) >= usable * 0.9, JSON.stringify(outcome));
});

test("routers expect no prefixes in caches that other routers' requests have evicted", () => {
  const fleet = new Fleet(SMALL_CACHE_TOKENS);
  const { tokensPerRequest } = fleet.play({ utilization: 0.7, hotShare: 0 });
  // The users' aim: 0.3 of 5 million tokens of shared parts prefilled again.
  assert.ok(tokensPerRequest < OWN_TOKENS * 1.06, `${tokensPerRequest}`);
});
