/** Plays engines of one service of which a third are far faster. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { Fleet } from "./played_fleet.ts";

const CACHE_TOKENS = 400_000;
/** Mean 1, as the capacity that the traffic is stated against. */
const SPEEDS = [0.68, 0.68, 1.64];

for (const hotShare of [0, 0.25]) {
  test(`95 in 100 are on time at uneven engines with ${hotShare} of them sharing a prefix`, () => {
    const { asked, onTime } = new Fleet(CACHE_TOKENS, SPEEDS).play({
      utilization: 0.8,
      hotShare,
    });
    assert.ok(onTime >= asked * 0.95, `${onTime} of ${asked}`);
  });
}
