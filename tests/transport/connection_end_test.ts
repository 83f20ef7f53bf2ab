/** Closing a connection must not wait forever for a peer that reads nothing. */

import assert from "node:assert/strict";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { connect, createServer, type Socket } from "node:net";
import { test } from "node:test";
import { systemClock } from "../../src/common/clock.ts";
import { withTimeout } from "../../src/common/promises.ts";
import { Connection, Traffic } from "../../src/transport/mod.ts";

const TIMEOUT_MS = 10_000;

/** More than the socket buffers of both ends hold. */
const UNREAD_TEXT = "x".repeat(8 * 1024 * 1024);

test("a connection closes although its peer reads nothing", async () => {
  const peers: Socket[] = [];
  const server = createServer({ pauseOnConnect: true }, (peer) => {
    peers.push(peer);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const socket = connect({ port, host: "127.0.0.1" });
  await once(socket, "connect");
  const owner = {
    clock: systemClock,
    traffic: new Traffic(),
    configurationVersion: () => 0,
  };
  const connection = new Connection(socket, owner);
  for (let i = 0; i < 4; i += 1) {
    connection.send({ type: "chunks", texts: [UNREAD_TEXT] });
  }
  const ended = await withTimeout(connection.end("Test is over"), TIMEOUT_MS);
  for (const peer of peers) peer.destroy();
  server.close();
  assert.equal(ended.type, "value");
  assert.equal(connection.closeReason, "Test is over");
});
