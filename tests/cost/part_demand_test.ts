import assert from "node:assert/strict";
import { test } from "node:test";
import { ownerCount, PartDemand } from "../../src/cost/mod.ts";
import { createManualClock } from "../support/manual_clock.ts";

/** Notes a request for a part each 10 ms that takes `busyMs`. */
function play(part: string, busyMs: number, playedMs: number) {
  const clock = createManualClock();
  const demand = new PartDemand(clock);
  for (let ms = 0; ms < playedMs; ms += 10) {
    clock.advance(10);
    demand.note(part, busyMs);
  }
  return { clock, demand };
}

test("a part that takes half of an engine is reported as such", () => {
  const { demand } = play("p", 5, 10_000);
  const [[id, share] = ["", 0]] = demand.busyParts;
  assert.equal(id, "p");
  assert.ok(Math.abs(share - 0.5) < 0.02, `${share}`);
});

test("a part in little demand isn't reported", () => {
  assert.deepEqual(play("p", 0.5, 10_000).demand.busyParts, []);
});

test("a part is no longer reported some seconds after the demand for it", () => {
  const { clock, demand } = play("p", 5, 10_000);
  clock.advance(4_000);
  assert.deepEqual(demand.busyParts, []);
});

test("many parts in little demand don't hide a busy one", () => {
  const { clock, demand } = play("p", 5, 5_000);
  for (let index = 0; index < 10_000; index += 1) {
    clock.advance(1);
    demand.note(`other-${index}`, 0.1);
    if (index % 10 === 0) demand.note("p", 5);
  }
  assert.deepEqual(
    demand.busyParts.map(([id]) => id),
    ["p"],
  );
});

test("two engines keep a part without news, and more by its demand", () => {
  const engine = (share: number) => ({ busyParts: [["p", share] as const] });
  assert.equal(ownerCount("p", [null, {}, null]), 2);
  assert.equal(ownerCount("p", [engine(0.3), engine(0.4)]), 2);
  assert.equal(ownerCount("p", [engine(0.9), engine(0.9), null]), 5);
  assert.equal(ownerCount("other", [engine(0.9), engine(0.9)]), 2);
});
