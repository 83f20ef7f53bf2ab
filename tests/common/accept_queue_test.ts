/** Reports on the queue of connections that wait to be accepted. */

import assert from "node:assert/strict";
import { createServer } from "node:net";
import { test } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import {
  AcceptQueue,
  type QueueReport,
} from "../../src/common/accept_queue.ts";
import { createManualClock } from "../support/manual_clock.ts";

/** Returns a queue whose connections and turns the test plays. */
function createFixture() {
  const clock = createManualClock();
  const server = createServer();
  const reports: QueueReport[] = [];
  const queue = new AcceptQueue(server, {
    clock,
    onReport: (report) => reports.push(report),
  });
  const turn = async (turnMs: number, connection: "accepted" | "none") => {
    clock.advance(turnMs);
    if (connection === "accepted") server.emit("connection");
    await nextTurn();
  };
  return { queue, reports, turn };
}

test("a queue stands from its first connection to a turn without one", async () => {
  const { queue, reports, turn } = createFixture();
  await turn(50, "accepted");
  for (let count = 0; count < 3; count += 1) await turn(40, "accepted");
  assert.equal(queue.standingMs, 120);
  assert.deepEqual(reports, []);
  await turn(10, "none");
  assert.equal(queue.standingMs, 0);
  assert.deepEqual(reports, [
    { standingMs: 130, accepted: 4, longestTurnMs: 40 },
  ]);
});

test("a queue that stays is reported each second", async () => {
  const { reports, turn } = createFixture();
  await turn(0, "accepted");
  for (let count = 0; count < 21; count += 1) await turn(100, "accepted");
  const standingMs = reports.map((report) => report.standingMs);
  assert.deepEqual(standingMs, [1_000, 2_000]);
  assert.equal(reports[1]?.accepted, 10);
});

test("connections that come one by one leave no queue", async () => {
  const { queue, reports, turn } = createFixture();
  for (let count = 0; count < 3; count += 1) {
    await turn(500, "accepted");
    await turn(1, "none");
    assert.equal(queue.standingMs, 0);
  }
  const standingMs = reports.map((report) => report.standingMs);
  assert.deepEqual(standingMs, [1, 1, 1]);
});
