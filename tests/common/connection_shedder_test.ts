/** Connections that are closed unread while too many come. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { ConnectionShedder } from "../../src/common/connection_shedder.ts";

const CONNECTIONS = 60;

/** Returns a shedder before a queue that has stood for a time that can be set. */
function createFixture() {
  const queue = { standingMs: 0 };
  const shedder = new ConnectionShedder(queue);
  /** Number of connections in turn that are closed. */
  const countClosed = (connections: number) => {
    let closed = 0;
    for (let count = 0; count < connections; count += 1)
      if (shedder.shouldClose()) closed += 1;
    return closed;
  };
  return { queue, countClosed };
}

test("no connection is closed while the queue has stood for less than 250 ms", () => {
  const { queue, countClosed } = createFixture();
  for (queue.standingMs = 0; queue.standingMs < 250; queue.standingMs += 1)
    assert.equal(countClosed(1), 0);
});

test("every other connection is closed once the queue has stood for 250 ms", () => {
  const { queue, countClosed } = createFixture();
  queue.standingMs = 250;
  assert.equal(countClosed(CONNECTIONS), CONNECTIONS / 2);
});

test("a queue that stands for long still gets every third connection served", () => {
  const { queue, countClosed } = createFixture();
  queue.standingMs = 500;
  assert.equal(countClosed(CONNECTIONS), (CONNECTIONS * 2) / 3);
  queue.standingMs = 60_000;
  assert.equal(countClosed(CONNECTIONS), (CONNECTIONS * 2) / 3);
});

test("no connection is closed once the queue was found empty", () => {
  const { queue, countClosed } = createFixture();
  queue.standingMs = 600;
  assert.equal(countClosed(1), 1);
  queue.standingMs = 0;
  assert.equal(countClosed(CONNECTIONS), 0);
});
