/** Limits requests in progress by the queue of connections. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { ConcurrencyLimit } from "../../src/common/concurrency_limit.ts";
import { createManualClock } from "../support/manual_clock.ts";

const INTERVAL_MS = 250;
const BACKLOG = 64;

/** Returns a limit with requests in progress. */
function createFixture({ inProgress }: { readonly inProgress: number }) {
  const clock = createManualClock();
  const limit = new ConcurrencyLimit(clock, { backlog: BACKLOG });
  for (let count = 0; count < inProgress; count += 1) limit.acquire();
  let accepted = 0;
  /** Plays intervals; connections wait at most `waitMs` in a full queue. */
  const play = (intervals: number, waitMs: number) => {
    for (let count = 1; count <= intervals; count += 1) {
      clock.advance(INTERVAL_MS);
      accepted += waitMs === 0 ? 1 : (BACKLOG / waitMs) * INTERVAL_MS;
      const standingMs = waitMs === 0 ? 0 : 10_000;
      limit.observe({ standingMs, accepted });
    }
  };
  return { clock, limit, play };
}

test("requests are not limited while the queue is empty at times", () => {
  const { limit, play } = createFixture({ inProgress: 500 });
  play(20, 0);
  assert.equal(limit.acquire(), true);
  assert.equal(limit.isReady, true);
});

test("the limit falls while connections wait too long", () => {
  const { limit, play } = createFixture({ inProgress: 100 });
  play(1, 2_000);
  assert.equal(limit.value, 70);
  assert.equal(limit.acquire(), false);
  for (let count = 0; count < 31; count += 1) limit.release();
  assert.equal(limit.acquire(), true);
  assert.equal(limit.acquire(), false);
});

test("some requests are served however long connections wait", () => {
  const { limit, play } = createFixture({ inProgress: 3 });
  play(100, 2_000);
  assert.equal(limit.acquire(), true);
});

test("the limit rises again once connections wait for less", () => {
  const { limit, play } = createFixture({ inProgress: 100 });
  play(10, 2_000);
  const lowest = limit.value;
  play(1, 0);
  assert.equal(limit.value, lowest + 1);
  play(20, 0);
  assert.ok(limit.value > 100, `The limit is ${limit.value}`);
});

test("the limit doesn't rise while it is hardly used", () => {
  const { limit, play } = createFixture({ inProgress: 100 });
  play(10, 2_000);
  const lowest = limit.value;
  for (let count = 0; count < 99; count += 1) limit.release();
  play(20, 0);
  assert.equal(limit.value, lowest);
});

test("callers that find the queue full don't lower the limit", () => {
  const { limit, play } = createFixture({ inProgress: 100 });
  play(10, 2_000);
  const lowest = limit.value;
  play(20, 400);
  assert.ok(limit.value > lowest * 2, `The limit is ${limit.value}`);
});

test("a server whose queue stands for half a second pauses for 5 s", () => {
  const { clock, limit, play } = createFixture({ inProgress: 100 });
  limit.observe({ standingMs: 499, accepted: 0 });
  assert.equal(limit.isReady, true);
  play(1, 2_000);
  assert.equal(limit.isReady, false);
  clock.advance(4_999);
  assert.equal(limit.isReady, false);
  clock.advance(1);
  assert.equal(limit.isReady, true);
});

test("the pause doubles if the queue stands again soon after it", () => {
  const { clock, limit, play } = createFixture({ inProgress: 100 });
  play(1, 2_000);
  clock.advance(6_000);
  play(1, 2_000);
  clock.advance(9_999);
  assert.equal(limit.isReady, false);
  clock.advance(1);
  assert.equal(limit.isReady, true);
  clock.advance(30_000);
  play(1, 2_000);
  clock.advance(5_000);
  assert.equal(limit.isReady, true);
});
