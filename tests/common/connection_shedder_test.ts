/** Connections that are closed unread while too many come. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { ConnectionShedder } from "../../src/common/connection_shedder.ts";

const BACKLOG = 64;

/** Returns a shedder before a queue that has stood for a time that can be set. */
function createFixture() {
  const queue = { standingMs: 0, restarts: 0 };
  const shedder = new ConnectionShedder(
    {
      get standingMs() {
        return queue.standingMs;
      },
      restart: () => {
        queue.restarts += 1;
        queue.standingMs = 0;
      },
    },
    { backlog: BACKLOG },
  );
  return { queue, shedder };
}

test("connections are served while the queue has stood for less than 250 ms", () => {
  const { queue, shedder } = createFixture();
  for (queue.standingMs = 0; queue.standingMs < 250; queue.standingMs += 1)
    assert.equal(shedder.shouldClose(), false);
});

test("a queue that has stood for 250 ms is closed once, then connections are served", () => {
  const { queue, shedder } = createFixture();
  queue.standingMs = 250;
  for (let count = 0; count < BACKLOG; count += 1)
    assert.equal(shedder.shouldClose(), true);
  assert.equal(queue.restarts, 1);
  queue.standingMs = 1;
  assert.equal(shedder.shouldClose(), false);
});

test("no connection is closed after the queue was found empty", () => {
  const { queue, shedder } = createFixture();
  queue.standingMs = 250;
  assert.equal(shedder.shouldClose(), true);
  queue.standingMs = 0;
  assert.equal(shedder.shouldClose(), false);
  queue.standingMs = 10;
  assert.equal(shedder.shouldClose(), false);
});
