/** Guards against cost estimates that don't follow what requests cost. */

import assert from "node:assert/strict";
import { test } from "node:test";
import type { Meter } from "../../src/configuration/mod.ts";
import { CostEstimator } from "../../src/fairness/mod.ts";

const TOKENS: Meter = {
  type: "tokens",
  promptWeight: 0.25,
  generatedWeight: 1,
};

test("estimates of a team and kind converge to its costs", () => {
  const estimator = new CostEstimator();
  const factors = { team: "a", kind: "summary", costHint: 0 };
  for (let count = 0; count < 30; count += 1) estimator.learn(factors, 500);
  assert.ok(Math.abs(estimator.estimate(TOKENS, factors) - 500) < 5);
});

test("a hint is corrected and averaged with the learned cost", () => {
  const estimator = new CostEstimator();
  const factors = { team: "a", kind: "summary", costHint: 100 };
  for (let count = 0; count < 30; count += 1) estimator.learn(factors, 400);
  const estimate = estimator.estimate(TOKENS, { ...factors, costHint: 50 });
  // Hints were too low by a factor of 4, so 50 means 200; the mean cost is 400.
  const expected = Math.sqrt(200 * 400);
  assert.ok(Math.abs(estimate - expected) < 5, `Estimate is ${estimate}`);
});

test("completed requests cost the weight of their kind", () => {
  const meter: Meter = {
    type: "completed",
    defaultWeight: 1,
    weightByKind: { exchange: 3 },
  };
  const estimator = new CostEstimator();
  const estimate = (kind: string) =>
    estimator.estimate(meter, { team: "a", kind, costHint: 99 });
  assert.equal(estimate("exchange"), 3);
  assert.equal(estimate("other"), 1);
});
