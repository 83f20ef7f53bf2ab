/** Burn report: sums over routers, the sliding window, the HTML page. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { type BurnCounts, burnHtml, burnLines } from "../../src/report/mod.ts";
import { SlidingWindow } from "../../src/report/sliding_window.ts";

function createCounts(change: Partial<BurnCounts>): BurnCounts {
  return {
    service: "desk-model",
    team: "desk-01",
    measure: "first-token",
    limitMs: 350,
    objective: 0.95,
    shortGood: 0,
    shortBad: 0,
    longGood: 0,
    longBad: 0,
    causes: { waiting: 0, engine: 0, retry: 0, refused: 0 },
    ...change,
  };
}

test("counts of all routers are summed, the highest burn rate first", () => {
  const lines = burnLines([
    createCounts({ longGood: 90, longBad: 0 }),
    createCounts({ longGood: 5, longBad: 5 }),
    createCounts({ team: "desk-02", longGood: 80, longBad: 20 }),
  ]);
  assert.deepEqual(
    lines.map(({ team }) => team),
    ["desk-02", "desk-01"],
  );
  assert.ok(Math.abs((lines[0]?.longBurn ?? 0) - 4) < 1e-9);
  assert.ok(Math.abs((lines[1]?.longBurn ?? 0) - 1) < 1e-9);
  assert.ok(Math.abs((lines[1]?.budgetLeft ?? 1) - 0) < 1e-9);
});

test("events drop out of the sliding window as time passes", () => {
  const window = new SlidingWindow(1_000, { buckets: 10 });
  window.record(true, 5_000);
  window.record(false, 5_450);
  assert.deepEqual(window.totals(5_900), { good: 1, bad: 1 });
  assert.deepEqual(window.totals(6_100), { good: 0, bad: 1 });
  assert.deepEqual(window.totals(9_000), { good: 0, bad: 0 });
});

test("the HTML page is self-contained and escapes names", () => {
  const lines = burnLines([createCounts({ longBad: 1, team: "<b>" })]);
  const page = burnHtml(lines, new Date(0));
  assert.match(page, /uPlot/);
  assert.doesNotMatch(page, /<(script|link)[^>]+(src|href)=/);
  assert.doesNotMatch(page, /<td><b><\/td>/);
});
