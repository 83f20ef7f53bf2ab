/** How often connections send heartbeats, and how soon silence is noticed. */

import assert from "node:assert/strict";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { connect, createServer } from "node:net";
import { after, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { systemClock } from "../../src/common/clock.ts";
import {
  ADMISSION_HEARTBEAT_MS,
  Connection,
  type Identity,
  Traffic,
} from "../../src/transport/mod.ts";
import { until } from "../../tools/fleet/until.ts";

const TIMEOUT_MS = 10_000;
const PEER: Identity = {
  role: "router",
  instance: "peer",
  incarnation: "1",
  availabilityZone: "a",
  service: "",
};

const opened: Connection[] = [];
const server = createServer();

after(() => {
  for (const connection of opened) connection.close("Test is over");
  server.close();
});

function createEnd(socket: ConstructorParameters<typeof Connection>[0]) {
  const traffic = new Traffic();
  const owner = { clock: systemClock, traffic, configurationVersion: () => 0 };
  const connection = new Connection(socket, owner);
  connection.setIdleHeartbeatMs(ADMISSION_HEARTBEAT_MS);
  opened.push(connection);
  const heartbeats = () => traffic.messagesByType.get("heartbeat") ?? 0;
  return { connection, heartbeats };
}

/** Returns both ends of a connection; neither has sent anything. */
async function createEnds() {
  if (!server.listening) {
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
  }
  const { port } = server.address() as AddressInfo;
  const accepted = once(server, "connection");
  const near = createEnd(connect({ port, host: "127.0.0.1" }));
  const [socket] = await accepted;
  return { near, far: createEnd(socket) };
}

test("idle ends send no more heartbeats than their interval asks for", async () => {
  const { near, far } = await createEnds();
  near.connection.start(PEER);
  far.connection.start(PEER);
  const playedMs = 2 * ADMISSION_HEARTBEAT_MS;
  await delay(playedMs);
  // One at the start, and each check a quarter of a second early at most.
  const bound = 1 + Math.ceil(playedMs / (ADMISSION_HEARTBEAT_MS - 250));
  for (const { heartbeats } of [near, far])
    assert.ok(heartbeats() <= bound, `${heartbeats()} of ${bound}`);
  assert.equal(near.connection.closeReason, null);
  assert.equal(far.connection.closeReason, null);
});

test("a busy end makes both ends send frequent heartbeats", async () => {
  const { near, far } = await createEnds();
  near.connection.start(PEER);
  far.connection.start(PEER);
  near.connection.setBusy(true);
  for (const { heartbeats } of [near, far])
    await until("heartbeats are frequent", TIMEOUT_MS, {
      holds: () => heartbeats() >= 5,
    });
  assert.equal(near.connection.closeReason, null);
});

test("a silent peer is noticed sooner by a busy end than by an idle one", async () => {
  const busy = await createEnds();
  const idle = await createEnds();
  busy.near.connection.start(PEER);
  idle.near.connection.start(PEER);
  busy.near.connection.setBusy(true);
  await until("the silence is noticed", TIMEOUT_MS, {
    holds: () => busy.near.connection.closeReason !== null,
  });
  assert.match(busy.near.connection.closeReason ?? "", /Received nothing/);
  assert.equal(idle.near.connection.closeReason, null);
});
