/** Demand is told to few or to all, and only when it is news. */

import assert from "node:assert/strict";
import { test } from "node:test";
import type { Demand } from "../../src/protocol/mod.ts";
import {
  DemandAnnouncer,
  type DemandReceiver,
} from "../../src/router/demand_announcer.ts";
import { until } from "../../tools/fleet/until.ts";

const TIMEOUT_MS = 2_000;
const PEERS = 6;

class FakePeer implements DemandReceiver {
  readonly counts: number[] = [];

  send({ teams }: Demand): void {
    for (const [, count] of teams) this.counts.push(count);
  }
}

interface Line {
  readonly announcer: DemandAnnouncer;
  readonly peers: FakePeer[];
  set(count: number, ageMs?: number): void;
}

function createLine(): Line {
  const peers = Array.from({ length: PEERS }, () => new FakePeer());
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
    announcer.changed("team");
  };
  return { announcer, peers, set };
}

function told(peers: readonly FakePeer[]): FakePeer[] {
  return peers.filter(({ counts }) => (counts.at(-1) ?? 0) > 0);
}

async function untilTold(line: Line, count: number): Promise<void> {
  await until(`${count} peers are told`, TIMEOUT_MS, {
    holds: () => told(line.peers).length === count,
  });
}

test("one waiting request is told to two peers", async () => {
  const line = createLine();
  line.set(1);
  await untilTold(line, 2);
  line.set(0);
  await untilTold(line, 0);
});

test("many waiting requests are told to all", async () => {
  const line = createLine();
  line.set(50);
  await untilTold(line, PEERS);
  line.set(0);
  await untilTold(line, 0);
});

test("a request that has waited for long is told to all", async () => {
  const line = createLine();
  line.set(1);
  await untilTold(line, 2);
  line.set(1, 150);
  await untilTold(line, PEERS);
  line.set(0);
  await untilTold(line, 0);
});

test("a count is told again when it doubles or halves, not between", async () => {
  const line = createLine();
  const [first] = line.peers as [FakePeer];
  for (const count of [100, 120, 199, 200, 150, 100]) {
    const before = first.counts.length;
    line.set(count);
    if ([100, 200].includes(count)) {
      await until(`${count} is told`, TIMEOUT_MS, {
        holds: () => first.counts.length > before,
      });
    }
  }
  line.set(0);
  await untilTold(line, 0);
  assert.deepEqual(first.counts, [100, 200, 100, 0]);
});

test("what a peer learns by a run is not told to it again", async () => {
  const line = createLine();
  line.set(100);
  await untilTold(line, PEERS);
  const [first] = line.peers as [FakePeer];
  line.announcer.learned(first, "team", 60);
  line.set(61);
  line.set(0);
  await untilTold(line, 0);
  assert.deepEqual(first.counts, [100, 0]);
});
