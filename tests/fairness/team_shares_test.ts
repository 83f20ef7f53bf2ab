/** Which teams an overloaded process owes more. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { ConcurrencyLimit } from "../../src/common/concurrency_limit.ts";
import { TeamShares } from "../../src/fairness/mod.ts";
import {
  createManualClock,
  type ManualClock,
} from "../support/manual_clock.ts";

const STEP_MS = 10;
const REQUEST_MS = 1_000;
const COST = 1_000;
const BACKLOG = 64;
const LIMIT = 40;

interface Load {
  readonly team: string;
  readonly requestsPerSecond: number;
}

/** Returns a limit of `LIMIT` requests, none of which are in progress. */
function createLimit(clock: ManualClock): ConcurrencyLimit {
  const limit = new ConcurrencyLimit(clock, { backlog: BACKLOG });
  let inProgress = 0;
  // An overload lowers the limit to 0.7 of the requests in progress.
  for (; inProgress < LIMIT / 0.7; inProgress += 1) limit.acquire();
  clock.advance(1_000);
  limit.observe({ standingMs: 10_000, accepted: 0 });
  for (; inProgress > 0; inProgress -= 1) limit.release();
  return limit;
}

/**
 * Plays 20 s of an overloaded process. Returns the share of each team's
 * requests that were served, and the largest number in progress.
 */
function simulateOverload(loads: readonly Load[]) {
  const clock = createManualClock();
  const limit = createLimit(clock);
  const shares = new TeamShares(clock);
  const served = new Map<string, number>();
  const sent = new Map<string, number>();
  const endsAtMs: number[] = [];
  let mostInProgress = 0;
  for (let ms = 0; ms < 20_000; ms += STEP_MS) {
    clock.advance(STEP_MS);
    while ((endsAtMs[0] ?? Number.POSITIVE_INFINITY) <= ms) {
      endsAtMs.shift();
      limit.release();
    }
    for (const { team, requestsPerSecond } of loads) {
      const due = Math.floor((ms * requestsPerSecond) / 1_000);
      for (let count = sent.get(team) ?? 0; count < due; count += 1) {
        const isBelowShare = () => shares.isBelowShare(team);
        if (!limit.acquire(isBelowShare)) continue;
        shares.add(team, COST);
        served.set(team, (served.get(team) ?? 0) + 1);
        endsAtMs.push(ms + REQUEST_MS);
      }
      sent.set(team, due);
    }
    mostInProgress = Math.max(mostInProgress, endsAtMs.length);
  }
  const shareOf = (team: string) =>
    (served.get(team) ?? 0) / (sent.get(team) ?? 1);
  return { shareOf, mostInProgress };
}

test("an overloaded router serves a team below its share", () => {
  const { shareOf } = simulateOverload([
    { team: "flood", requestsPerSecond: 300 },
    { team: "calm", requestsPerSecond: 10 },
  ]);
  const calm = shareOf("calm");
  assert.ok(calm >= 0.9, `The calm team was served ${calm} of its requests`);
  assert.ok(shareOf("flood") > 0, "The flooding team was served nothing");
});

test("an overloaded router gives a large team half of what a flooding one gets", () => {
  const { shareOf } = simulateOverload([
    { team: "flood", requestsPerSecond: 300 },
    { team: "large", requestsPerSecond: 60 },
  ]);
  const ratio = (shareOf("large") * 60) / (shareOf("flood") * 300);
  assert.ok(ratio >= 0.5, `The large team got ${ratio} of the flooding one`);
});

test("teams below their share don't raise the load beyond twice the limit", () => {
  const teams = Array.from({ length: 20 }, (_, index) => ({
    team: `t${index}`,
    requestsPerSecond: 40,
  }));
  const flood = { team: "flood", requestsPerSecond: 300 };
  const { mostInProgress } = simulateOverload([flood, ...teams]);
  assert.ok(mostInProgress <= LIMIT * 2, `${mostInProgress} in progress`);
});
