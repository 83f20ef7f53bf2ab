/** Guards the thresholds at which an engine is logged as slow or failing. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { classifyEngine } from "../../src/admission/engine_state.ts";

const HEALTHY = {
  ...{ failureShare: 0, learnedTokensPerMs: 40, currentTokensPerMs: 40 },
};

test("an engine at half of its learned prefill rate or more is well", () => {
  assert.equal(classifyEngine(HEALTHY), "well");
  assert.equal(classifyEngine({ ...HEALTHY, currentTokensPerMs: 20 }), "well");
});

test("an engine below a third of its learned prefill rate is slow", () => {
  assert.equal(classifyEngine({ ...HEALTHY, currentTokensPerMs: 10 }), "slow");
});

test("an engine that fails most requests is failing, even if slow", () => {
  const failing = { ...HEALTHY, failureShare: 0.6 };
  assert.equal(classifyEngine(failing), "failing");
  assert.equal(
    classifyEngine({ ...failing, currentTokensPerMs: 1 }),
    "failing",
  );
});

test("an engine without a learned prefill rate is well", () => {
  const unknown = { ...HEALTHY, learnedTokensPerMs: 0, currentTokensPerMs: 0 };
  assert.equal(classifyEngine(unknown), "well");
});
