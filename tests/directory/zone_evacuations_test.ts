/** Which zones count as emptied when states come twice, late or in any order. */

import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  type EvacuationState,
  ZoneEvacuations,
} from "../../src/directory/mod.ts";
import { createManualClock } from "../support/manual_clock.ts";

function createEvacuations() {
  const clock = createManualClock();
  const evacuations = new ZoneEvacuations(clock);
  /** Zones by the changes that listeners are told of. */
  const told = new Set<string>();
  evacuations.onChange(({ emptied, returned }) => {
    for (const zone of emptied) told.add(zone);
    for (const zone of returned) told.delete(zone);
  });
  return { clock, evacuations, told };
}

function createState(
  revision: number,
  zones: readonly string[],
  era = 1,
): EvacuationState {
  return { era, revision, zones, ageMs: 0 };
}

const zones = fc.uniqueArray(fc.constantFrom("a", "b", "c"));
/** States of one store: one set of zones for each era and revision. */
const history = fc.uniqueArray(
  fc.record({ era: fc.nat(2), revision: fc.nat(9), zones, ageMs: fc.nat(9) }),
  { selector: ({ era, revision }) => `${era} ${revision}`, minLength: 1 },
);

test("the newest state wins, in whatever order states come, and how often", () => {
  const arrivals = history.chain((states) =>
    fc.record({
      states: fc.constant(states),
      order: fc.array(
        fc.record({
          index: fc.nat(states.length - 1),
          source: fc.constantFrom("store", "relay"),
        }),
      ),
    }),
  );
  fc.assert(
    fc.property(arrivals, ({ states, order }) => {
      const { evacuations, told } = createEvacuations();
      const all = states.map((_, index) => ({ index, source: "relay" }));
      for (const { index, source } of [...order, ...all]) {
        const state = states[index];
        assert.ok(state);
        evacuations.learn(state, source === "store" ? "store" : "relay");
      }
      const newest = [...states].sort(
        (a, b) => b.era - a.era || b.revision - a.revision,
      )[0];
      const expected = [...(newest?.zones ?? [])].sort();
      assert.deepEqual(evacuations.current?.zones, expected);
      assert.deepEqual([...told].sort(), expected);
    }),
  );
});

test("a state is news if it changes zones, and outdated if a newer one differs", () => {
  const { evacuations } = createEvacuations();
  assert.equal(evacuations.learn(createState(5, []), "relay"), "known");
  assert.equal(evacuations.learn(createState(6, ["a"]), "relay"), "news");
  assert.equal(evacuations.learn(createState(6, ["a"]), "relay"), "known");
  assert.equal(evacuations.learn(createState(9, ["a"]), "relay"), "known");
  assert.equal(evacuations.learn(createState(8, []), "relay"), "outdated");
  assert.equal(evacuations.learn(createState(7, ["a"]), "relay"), "known");
  assert.equal(evacuations.isEmptied("a"), true);
});

test("the store is believed at the revision that another router has told", () => {
  const { evacuations } = createEvacuations();
  evacuations.learn(createState(6, ["a"]), "relay");
  assert.equal(evacuations.learn(createState(6, ["b"]), "relay"), "outdated");
  assert.equal(evacuations.learn(createState(6, ["b"]), "store"), "news");
  assert.deepEqual(evacuations.current?.zones, ["b"]);
});

test("a store that was restored wins with a lower revision", () => {
  const { evacuations } = createEvacuations();
  evacuations.learn(createState(50, ["a"], 1), "store");
  assert.equal(evacuations.learn(createState(7, [], 2), "relay"), "news");
  assert.equal(
    evacuations.learn(createState(60, ["a"], 1), "store"),
    "outdated",
  );
  assert.equal(evacuations.isEmpty, true);
});

test("the age of what is known grows with time", () => {
  const { clock, evacuations } = createEvacuations();
  evacuations.learn({ ...createState(1, ["a"]), ageMs: 300 }, "relay");
  clock.advance(200);
  assert.equal(evacuations.current?.ageMs, 500);
});
