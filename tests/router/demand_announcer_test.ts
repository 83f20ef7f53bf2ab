/**
 * Which side processes demand is announced to, and which changes are announced.
 * Too many announcements load every side process; too few leave slots idle
 * while requests wait.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import type { Demand } from "../../src/protocol/mod.ts";
import {
  DemandAnnouncer,
  type DemandReceiver,
} from "../../src/router/demand_announcer.ts";
import { until } from "../../tools/fleet/until.ts";

const TIMEOUT_MS = 2_000;
const PEER_COUNT = 6;

class FakePeer implements DemandReceiver {
  readonly counts: number[] = [];

  send({ teams }: Demand): void {
    for (const [, count] of teams) this.counts.push(count);
  }
}

interface Harness {
  readonly announcer: DemandAnnouncer;
  readonly peers: FakePeer[];
  set(count: number, ageMs?: number): void;
}

function createHarness(): Harness {
  const peers = Array.from({ length: PEER_COUNT }, () => new FakePeer());
  let waiting = 0;
  let age = 0;
  const announcer = new DemandAnnouncer({
    peers: () => peers,
    count: () => waiting,
    ageMs: () => age,
  });
  const set = (count: number, ageMs = 0) => {
    waiting = count;
    age = ageMs;
    announcer.markChanged("team");
  };
  return { announcer, peers, set };
}

function peersWithDemand(peers: readonly FakePeer[]): FakePeer[] {
  return peers.filter(({ counts }) => (counts.at(-1) ?? 0) > 0);
}

async function untilAnnounced(harness: Harness, count: number): Promise<void> {
  await until(`${count} peers know of the demand`, TIMEOUT_MS, {
    holds: () => peersWithDemand(harness.peers).length === count,
  });
}

test("one queued request is announced to two peers", async () => {
  const harness = createHarness();
  harness.set(1);
  await untilAnnounced(harness, 2);
  harness.set(0);
  await untilAnnounced(harness, 0);
});

test("many queued requests are announced to all peers", async () => {
  const harness = createHarness();
  harness.set(50);
  await untilAnnounced(harness, PEER_COUNT);
  harness.set(0);
  await untilAnnounced(harness, 0);
});

test("a request queued for more than 100 ms is announced to all", async () => {
  const harness = createHarness();
  harness.set(1);
  await untilAnnounced(harness, 2);
  harness.set(1, 150);
  await untilAnnounced(harness, PEER_COUNT);
  harness.set(0);
  await untilAnnounced(harness, 0);
});

test("a count is announced again only if it has doubled or halved", async () => {
  const harness = createHarness();
  const [first] = harness.peers as [FakePeer];
  for (const count of [100, 120, 199, 200, 150, 100]) {
    const before = first.counts.length;
    harness.set(count);
    if ([100, 200].includes(count)) {
      await until(`${count} is announced`, TIMEOUT_MS, {
        holds: () => first.counts.length > before,
      });
    }
  }
  harness.set(0);
  await untilAnnounced(harness, 0);
  assert.deepEqual(first.counts, [100, 200, 100, 0]);
});

test("a count that a peer was sent in a run is not announced to it", async () => {
  const harness = createHarness();
  harness.set(100);
  await untilAnnounced(harness, PEER_COUNT);
  const [first] = harness.peers as [FakePeer];
  harness.announcer.recordKnownCount(first, "team", 60);
  harness.set(61);
  harness.set(0);
  await untilAnnounced(harness, 0);
  assert.deepEqual(first.counts, [100, 0]);
});
