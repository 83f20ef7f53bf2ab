/** How fast the estimate of a prefill rate converges. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { PrefillRate } from "../../src/scheduling/prefill_rate.ts";

test("a few samples correct a wrongly configured rate", () => {
  const rate = new PrefillRate(16);
  for (let i = 0; i < 5; i += 1) rate.addSample(36_000, 1_000);
  assert.ok(rate.tokensPerMs > 30, `${rate.tokensPerMs} of 36 tokens/ms`);
});

test("one outlier hardly moves an established estimate", () => {
  const rate = new PrefillRate(36);
  for (let i = 0; i < 40; i += 1) rate.addSample(36_000, 1_000);
  rate.addSample(36_000, 10_000);
  assert.ok(rate.tokensPerMs > 33, `${rate.tokensPerMs} of 36 tokens/ms`);
});

test("samples with few tokens are ignored", () => {
  const rate = new PrefillRate(36);
  rate.addSample(100, 1_000);
  assert.equal(rate.tokensPerMs, 36);
});
