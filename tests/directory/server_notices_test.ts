/** What is remembered of servers that leave, or want nothing for a time. */

import assert from "node:assert/strict";
import { test } from "node:test";
import {
  packNotice,
  ServerDirectory,
  ServerNotices,
  unpackNotice,
} from "../../src/directory/mod.ts";
import { createManualClock } from "../support/manual_clock.ts";
import { createServer } from "../support/servers.ts";

const START = { id: "s1", startedAtMs: 100 };
const RESTART = { id: "s1", startedAtMs: 200 };
const PAUSE = { type: "paused", forMs: 3_000 } as const;
const LEAVING = { type: "leaving" } as const;

function createNotices() {
  const clock = createManualClock();
  return { clock, notices: new ServerNotices(clock) };
}

test("a pause ends when its time is over", () => {
  const { clock, notices } = createNotices();
  assert.equal(notices.note(START, PAUSE), true);
  clock.advance(2_999);
  assert.equal(notices.pauseLeftMs(START), 1);
  assert.equal(notices.isClosed(START), true);
  clock.advance(1);
  assert.equal(notices.isClosed(START), false);
});

test("a shorter pause that is told later doesn't end a longer one", () => {
  const { clock, notices } = createNotices();
  notices.note(START, PAUSE);
  clock.advance(500);
  assert.equal(notices.note(START, { type: "paused", forMs: 1_000 }), false);
  assert.equal(notices.pauseLeftMs(START), 2_500);
  assert.equal(notices.note(START, PAUSE), true);
  assert.equal(notices.pauseLeftMs(START), 3_000);
});

test("responses that were sent together tell of one pause", () => {
  const { clock, notices } = createNotices();
  notices.note(START, PAUSE);
  clock.advance(20);
  assert.equal(notices.note(START, PAUSE), false);
  assert.equal(notices.pauseLeftMs(START), 3_000);
});

test("nothing is known of a server that has restarted", () => {
  const { notices } = createNotices();
  notices.note(START, PAUSE);
  notices.note(START, LEAVING);
  assert.equal(notices.isClosed(RESTART), false);
  assert.equal(notices.pauseLeftMs(RESTART), 0);
});

test("what was said before a restart, and is told after it, changes nothing", () => {
  const directory = new ServerDirectory(createManualClock());
  directory.put(createServer(RESTART));
  directory.note(START, LEAVING);
  assert.equal(directory.get("s1")?.state, "ready");
});

test("a server that leaves drains, whatever its entry says", () => {
  const directory = new ServerDirectory(createManualClock());
  const states: string[] = [];
  directory.onChange(({ type, server }) =>
    states.push(`${type} ${server.state}`),
  );
  directory.put(createServer(START));
  assert.equal(directory.note(START, LEAVING), true);
  assert.equal(directory.note(START, LEAVING), false);
  directory.put(createServer(START));
  // Its entry lapses and comes back, as after an outage of the registry.
  directory.remove("s1");
  directory.put(createServer(START));
  directory.put(createServer(RESTART));
  assert.deepEqual(states, [
    ...["joined ready", "changed draining", "changed draining"],
    ...["left draining", "joined draining", "left draining", "joined ready"],
  ]);
});

test("a process that connects later is told what is left of a pause", () => {
  const { clock, notices } = createNotices();
  notices.note(START, PAUSE);
  notices.note(RESTART, LEAVING);
  clock.advance(1_000);
  const told = new ServerNotices(clock);
  for (const { start, notice } of notices.current) {
    const received = unpackNotice(packNotice(start, notice));
    told.note(received.start, received.notice);
  }
  assert.equal(told.pauseLeftMs(START), 2_000);
  assert.equal(told.isLeaving(RESTART), true);
  clock.advance(2_000);
  assert.equal(told.current.length, 1);
});

test("what lapsed is forgotten", () => {
  const { clock, notices } = createNotices();
  for (let index = 0; index < 100; index += 1)
    notices.note({ id: `s${index}`, startedAtMs: 1 }, PAUSE);
  clock.advance(3_000);
  assert.deepEqual(notices.current, []);
  notices.note(START, { type: "paused", forMs: 1 });
  clock.advance(1);
  notices.note(RESTART, PAUSE);
  assert.equal(notices.current.length, 1);
});
