/** Counts of outcomes by team. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { TeamTally } from "../../src/fairness/mod.ts";

test("each interval counts requests and tokens by team and outcome", () => {
  const tally = new TeamTally();
  tally.add("desk", "served", 100);
  tally.add("desk", "no-room", 40);
  tally.add("porters", "served", 200);
  assert.equal(tally.has("no-room"), true);
  const [first, second, ...others] = tally.take(8);
  assert.deepEqual(first, {
    team: "porters",
    counts: { served: 1, servedTokens: 200 },
  });
  assert.deepEqual(second, {
    team: "desk",
    counts: {
      ...{ served: 1, servedTokens: 100 },
      ...{ "no-room": 1, "no-roomTokens": 40 },
    },
  });
  assert.equal(others.length, 0);
  assert.equal(tally.has("no-room"), false);
  assert.deepEqual(tally.take(8), []);
});

test("the teams with the most tokens are kept", () => {
  const tally = new TeamTally();
  for (let team = 1; team <= 5; team += 1) tally.add(`t${team}`, "x", team);
  assert.deepEqual(
    tally.take(2).map(({ team }) => team),
    ["t5", "t4"],
  );
});
