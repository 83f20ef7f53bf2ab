/** Whose turn comes before a request's. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { tokensBefore } from "../../src/admission/expected_wait.ts";

const line = (service: number, cost: number) => ({
  ...{ service, cost },
  uncachedTokens: cost / 2,
});

test("a team alone waits for its own line", () => {
  assert.equal(tokensBefore(line(5_000, 8_000), []), 4_000);
});

test("a team without service goes before teams that were served", () => {
  const served = [line(20_000, 50_000), line(30_000, 50_000)];
  assert.equal(tokensBefore(line(0, 0), served), 0);
});

test("poorer teams go first until they were served as much", () => {
  // It may take 10,000 of the 50,000 that it wants before it is level.
  assert.equal(tokensBefore(line(10_000, 0), [line(0, 50_000)]), 5_000);
  assert.equal(tokensBefore(line(10_000, 0), [line(0, 4_000)]), 2_000);
});

test("what stands before it in its line lets others catch up too", () => {
  const other = line(0, 50_000);
  assert.equal(tokensBefore(line(0, 20_000), [other]), 10_000 + 10_000);
});
