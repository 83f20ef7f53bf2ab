/** How keys are spread over members. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { topRanked } from "../../src/scheduling/mod.ts";

const MEMBERS = 38;
const KEYS = 20_000;
/** Owners per key. */
const COUNT = 2;

function createMembers(count: number): { readonly id: string }[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `i-${(index * 0x9e3779b1).toString(16).padStart(10, "0").slice(-10)}`,
  }));
}

function createKeys(): string[] {
  return Array.from({ length: KEYS }, (_, index) =>
    (0x5c1e0000 + index * 7).toString(16),
  );
}

test("keys are spread evenly, and so are those of one owner over the second", () => {
  const members = createMembers(MEMBERS);
  const first = new Map<string, number>();
  const pairs = new Map<string, number>();
  for (const key of createKeys()) {
    const [owner, other] = topRanked(key, members, COUNT).map(({ id }) => id);
    first.set(`${owner}`, (first.get(`${owner}`) ?? 0) + 1);
    const pair = `${owner} ${other}`;
    pairs.set(pair, (pairs.get(pair) ?? 0) + 1);
  }
  const mean = KEYS / MEMBERS;
  // Five standard deviations of a binomial distribution.
  const tolerance = 5 * Math.sqrt(mean);
  assert.equal(first.size, MEMBERS);
  for (const count of first.values())
    assert.ok(Math.abs(count - mean) < tolerance, `${count} of ${mean}`);
  const meanOfPairs = mean / (MEMBERS - 1);
  const most = Math.max(...pairs.values());
  assert.ok(most < meanOfPairs + 6 * Math.sqrt(meanOfPairs), `${most}`);
});

test("only the keys of a member that leaves get another owner", () => {
  const members = createMembers(MEMBERS);
  const [gone, ...rest] = members;
  for (const key of createKeys().slice(0, 2_000)) {
    const [owner, second] = topRanked(key, members, COUNT);
    const [successor] = topRanked(key, rest, COUNT);
    assert.equal(successor, owner === gone ? second : owner);
  }
});

test("members are ranked by descending weight, whatever their order", () => {
  const members = createMembers(MEMBERS);
  const ranked = topRanked("key", members, MEMBERS);
  assert.equal(new Set(ranked).size, MEMBERS);
  assert.deepEqual(topRanked("key", [...members].reverse(), MEMBERS), ranked);
  assert.deepEqual(topRanked("key", members, 3), ranked.slice(0, 3));
  assert.deepEqual(topRanked("key", [], 3), []);
});

/** Prefixes of a deployment with 1,506 things that prompts are about. */
const MANY_KEYS = 1_506;
const FEW_KEYS = 50;
const RANKINGS = 6_000;
/** Allows for memory that the processor's caches no longer hold. */
const MAX_SLOWDOWN = 4;

/** Processor time of rankings in turn for so many keys, in microseconds. */
function measureRankings(keyCount: number): number {
  const members = createMembers(MEMBERS);
  const keys = createKeys().slice(0, keyCount);
  const rankAll = () => {
    for (let ranked = 0; ranked < RANKINGS; ranked += 1)
      topRanked(`${keys[ranked % keyCount]}`, members, COUNT);
  };
  rankAll();
  const before = process.cpuUsage();
  rankAll();
  const { user, system } = process.cpuUsage(before);
  return user + system;
}

test("ranking takes no longer for many prefixes than for few", () => {
  const fewUs = measureRankings(FEW_KEYS);
  const manyUs = measureRankings(MANY_KEYS);
  assert.ok(
    manyUs < fewUs * MAX_SLOWDOWN,
    `${manyUs} us for ${MANY_KEYS} keys, ${fewUs} us for ${FEW_KEYS}`,
  );
});
