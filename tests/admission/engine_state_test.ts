/** When a gate calls its engine slow or failing. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { stateOf } from "../../src/admission/engine_state.ts";

const WELL = {
  ...{ failureShare: 0, usualTokensPerMs: 40, presentTokensPerMs: 40 },
};

test("an engine that reads as usual is well", () => {
  assert.equal(stateOf(WELL), "well");
  assert.equal(stateOf({ ...WELL, presentTokensPerMs: 20 }), "well");
});

test("one that reads at under a third of its rate is slow", () => {
  assert.equal(stateOf({ ...WELL, presentTokensPerMs: 10 }), "slow");
});

test("one that fails most requests is failing, also when slow", () => {
  const failing = { ...WELL, failureShare: 0.6 };
  assert.equal(stateOf(failing), "failing");
  assert.equal(stateOf({ ...failing, presentTokensPerMs: 1 }), "failing");
});

test("an engine of which nothing is known is well", () => {
  const unknown = { ...WELL, usualTokensPerMs: 0, presentTokensPerMs: 0 };
  assert.equal(stateOf(unknown), "well");
});
