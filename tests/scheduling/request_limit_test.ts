/** Pacing of requests under the limit that a server names. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { RequestLimit } from "../../src/scheduling/mod.ts";
import {
  createManualClock,
  type ManualClock,
} from "../support/manual_clock.ts";

const STEP_MS = 10;
const WINDOW_MS = 4_000;

function createLimit(
  clock: ManualClock,
  requestsPerS: number | null,
): RequestLimit {
  const limit = new RequestLimit(clock);
  limit.observe({ requestsPerS, sentAtMs: clock.monotonicMs() });
  return limit;
}

/** Sends whenever slots allow; returns the times. */
function sendFor(
  ms: number,
  {
    clock,
    limits,
  }: { readonly clock: ManualClock; readonly limits: readonly RequestLimit[] },
): number[] {
  const share = 1 / limits.length;
  const sentAtMs: number[] = [];
  const endMs = clock.monotonicMs() + ms;
  while (clock.monotonicMs() < endMs) {
    for (const limit of limits) {
      while (limit.delayMs(share) === 0) {
        limit.spend(share);
        sentAtMs.push(clock.monotonicMs());
      }
    }
    clock.advance(STEP_MS);
  }
  return sentAtMs;
}

function mostInWindow(sentAtMs: readonly number[]): number {
  const counts = sentAtMs.map(
    (startMs) =>
      sentAtMs.filter((ms) => ms >= startMs && ms < startMs + WINDOW_MS).length,
  );
  return Math.max(0, ...counts);
}

/** The users' rule: requests in a window of 4 s. */
function allowed(requestsPerS: number): number {
  return 1.5 * requestsPerS * (WINDOW_MS / 1_000) + 5;
}

for (const requestsPerS of [0, 0.05, 0.7, 2, 17.5, 400]) {
  test(`a limit of ${requestsPerS} a second is kept, also after a pause`, () => {
    const clock = createManualClock();
    const limits = [createLimit(clock, requestsPerS)];
    const before = sendFor(20_000, { clock, limits });
    clock.advance(60_000);
    const after = sendFor(20_000, { clock, limits });
    assert.ok(mostInWindow(before) <= allowed(requestsPerS));
    assert.ok(mostInWindow(after) <= allowed(requestsPerS));
    // What the limit allows is used, from the first slot to the last step.
    const usedS = (20_000 - STEP_MS) / 1_000;
    assert.ok(before.length >= Math.floor(usedS * requestsPerS) - 1);
    assert.ok(before.length >= 4);
  });
}

test("routers without a common count keep a limit together", () => {
  const clock = createManualClock();
  const limits = Array.from({ length: 30 }, () => createLimit(clock, 2));
  const steady = sendFor(60_000, { clock, limits });
  assert.ok(steady.length >= 60 * 2 * 0.9, `${steady.length}`);
  clock.advance(60_000);
  const most = mostInWindow(sendFor(20_000, { clock, limits }));
  assert.ok(most <= allowed(2), `${most} requests, ${allowed(2)} allowed`);
});

test("a limit ends with a response to a request sent after it was named", () => {
  const clock = createManualClock();
  const limit = createLimit(clock, 2);
  const sentAtMs = clock.monotonicMs() - 5;
  clock.advance(50);
  assert.equal(limit.observe({ requestsPerS: null, sentAtMs }), false);
  assert.equal(limit.requestsPerS, 2);
  const laterMs = clock.monotonicMs();
  assert.equal(limit.observe({ requestsPerS: null, sentAtMs: laterMs }), true);
  assert.equal(limit.delayMs(1), 0);
});

test("a higher limit takes effect before the next slot of the lower one", () => {
  const clock = createManualClock();
  const limit = createLimit(clock, 0);
  limit.spend(1);
  limit.observe({ requestsPerS: 10, sentAtMs: clock.monotonicMs() });
  assert.ok(limit.delayMs(1) <= 100);
});
