/** The part of the fleet's routers that is connected to one controller. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { RouterCount } from "../../src/admission/mod.ts";
import { createManualClock } from "../support/manual_clock.ts";

test("routers that were lost count for a minute, or until they are back", () => {
  const clock = createManualClock();
  const count = new RouterCount(clock);
  for (const instance of ["a", "b", "c", "d"]) count.add(instance);
  assert.deepEqual(count.current, { connected: 4, known: 4 });
  count.remove("a");
  count.remove("b");
  assert.deepEqual(count.current, { connected: 2, known: 4 });
  count.add("a");
  assert.deepEqual(count.current, { connected: 3, known: 4 });
  clock.advance(60_000);
  assert.deepEqual(count.current, { connected: 3, known: 3 });
});

test("a second connection of a router ends without its loss", () => {
  const count = new RouterCount(createManualClock());
  for (const instance of ["a", "a", "b"]) count.add(instance);
  count.remove("a");
  assert.deepEqual(count.current, { connected: 2, known: 2 });
});

test("a controller that has just started counts the routers it is told of", () => {
  const clock = createManualClock();
  const count = new RouterCount(clock);
  count.add("a");
  count.noteHint(10);
  count.noteHint(0);
  assert.deepEqual(count.current, { connected: 1, known: 10 });
});
