/** Who yields when the memory for what peers send is full. */

import assert from "node:assert/strict";
import { beforeEach, test } from "node:test";
import { HeldBytes } from "../../src/common/held_bytes.ts";
import type { Holding } from "../../src/common/holding.ts";
import {
  createManualClock,
  type ManualClock,
} from "../support/manual_clock.ts";

const LIMIT_BYTES = 1_000;

let clock: ManualClock;
let held: HeldBytes;
let yielded: string[];

beforeEach(() => {
  clock = createManualClock();
  yielded = [];
  held = new HeldBytes(clock, { limitBytes: LIMIT_BYTES });
});

function open(group: string, name: string, bytes: number): Holding {
  const onYield = () => void yielded.push(name);
  const holding = held.open({ kind: "upload", group, onYield });
  assert.ok(holding.grow(bytes));
  return holding;
}

test("those without progress yield first, the largest before the others", () => {
  open("a", "small", 100);
  open("a", "large", 300);
  const goingOn = open("b", "going on", 500);
  clock.advance(1_500);
  goingOn.advance(5_000);
  open("c", "new", 200);
  assert.deepEqual(yielded, ["large"]);
  assert.equal(held.totalBytes, 800);
});

test("a group with more yields to one with less, the latest first", () => {
  open("a", "first", 400);
  open("a", "second", 400);
  open("b", "other", 200);
  open("b", "new", 100);
  assert.deepEqual(yielded, ["second"]);
});

test("no group takes memory from one that has less", () => {
  open("a", "a", 600);
  open("b", "b", 400);
  const late = held.open({ kind: "upload", group: "a" });
  assert.equal(late.grow(1), false);
  const greedy = held.open({ kind: "upload", group: "c" });
  assert.equal(greedy.grow(700), false);
  assert.deepEqual(yielded, []);
});

test("an earlier body of a group takes memory from its later ones", () => {
  const first = open("a", "first", 400);
  open("a", "second", 600);
  assert.ok(first.grow(500));
  assert.deepEqual(yielded, ["second"]);
});

test("whole bodies don't yield, and leave room for small requests", () => {
  const limitBytes = 1_000_000;
  held = new HeldBytes(clock, { limitBytes });
  open("a", "whole", 700_000).mayYield = false;
  clock.advance(5_000);
  assert.equal(held.open({ kind: "upload", group: "b" }).grow(100_000), false);
  assert.ok(held.open({ kind: "connection", group: "b" }).grow(10_000));
  assert.deepEqual(yielded, []);
});

test("what was closed is free again", () => {
  const holding = open("a", "a", LIMIT_BYTES);
  holding.close();
  holding.close();
  assert.equal(held.totalBytes, 0);
  assert.equal(holding.grow(1), false);
});
