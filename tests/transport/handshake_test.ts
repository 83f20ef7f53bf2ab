/**
 * Peers without the fleet key and connections that send invalid bytes are
 * closed without an effect on other connections.
 */

import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { test } from "node:test";
import { systemClock } from "../../src/common/clock.ts";
import {
  type Connection,
  type ConnectionOwner,
  type Credentials,
  Dialer,
  Listener,
  Traffic,
} from "../../src/transport/mod.ts";
import { freePorts } from "../../tools/fleet/ports.ts";
import { until } from "../../tools/fleet/until.ts";

const FLEET_KEY = "the-fleet-key-of-this-test";
const TIMEOUT_MS = 5_000;
const HEARTBEAT_MS = 2_000;

function createCredentials(
  instance: string,
  fleetKey = FLEET_KEY,
): Credentials {
  return {
    identity: {
      role: "router",
      instance,
      incarnation: `incarnation of ${instance}`,
      availabilityZone: "zone",
      service: "",
    },
    fleetKey,
  };
}

function createOwner(): ConnectionOwner {
  return {
    clock: systemClock,
    traffic: new Traffic(),
    configurationVersion: () => 1,
  };
}

interface TestListener {
  readonly listener: Listener;
  readonly port: number;
  readonly peers: string[];
}

async function createListener(): Promise<TestListener> {
  const peers: string[] = [];
  const serve = async (connection: Connection) => {
    peers.push(connection.peer.instance);
    for await (const _ of connection.messages);
  };
  const listener = new Listener(createCredentials("listener"), createOwner(), {
    serve,
  });
  const [port] = (await freePorts(1)) as [number];
  await listener.listen({ host: "127.0.0.1", port });
  return { listener, port, peers };
}

function createDialer(fleetKey: string): Dialer {
  const credentials = createCredentials("dialer", fleetKey);
  return new Dialer(credentials, createOwner(), {
    serve: async (connection) => {
      for await (const _ of connection.messages);
    },
  });
}

async function waitForClose(socket: Socket): Promise<void> {
  await until("the listener closes the connection", TIMEOUT_MS, {
    holds: () => socket.destroyed,
  });
}

test("only peers with the fleet key are served", async () => {
  const { listener, port, peers } = await createListener();
  const unauthorized = createDialer("another-key-of-some-length");
  void unauthorized.run({ host: "127.0.0.1", port });
  const authorized = createDialer(FLEET_KEY);
  void authorized.run({ host: "127.0.0.1", port });
  await until("the authorized peer is served", TIMEOUT_MS, {
    holds: () => peers.length > 0,
  });
  unauthorized.close();
  authorized.close();
  await listener.close();
  assert.deepEqual(peers, ["dialer"]);
});

test("invalid bytes close only the connection they came on", async () => {
  const { listener, port, peers } = await createListener();
  const authorized = createDialer(FLEET_KEY);
  void authorized.run({ host: "127.0.0.1", port });
  await until("the authorized peer is served", TIMEOUT_MS, {
    holds: () => peers.length === 1,
  });
  const invalidInputs = [
    Buffer.from("GET / HTTP/1.1\r\n\r\n"),
    Buffer.from([0, 0, 0, 3, 1, 2, 3]),
    Buffer.from([255, 255, 255, 255]),
    Buffer.alloc(100_000, 7),
  ];
  for (const bytes of invalidInputs) {
    const socket = connect(port, "127.0.0.1");
    socket.on("error", () => undefined);
    socket.resume();
    socket.write(bytes);
    await waitForClose(socket);
  }
  assert.deepEqual(peers, ["dialer"]);
  authorized.close();
  await listener.close();
});

test("a dialer rejects a listener that reflects its proof", async () => {
  // Echoing the dialer's own messages must not authenticate a listener.
  const { createServer } = await import("node:net");
  const echo = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.pipe(socket);
  });
  const [port] = (await freePorts(1)) as [number];
  await new Promise<void>((resolve) => {
    echo.listen(port, "127.0.0.1", () => resolve());
  });
  let served = 0;
  const dialer = new Dialer(createCredentials("dialer"), createOwner(), {
    serve: async () => {
      served += 1;
    },
  });
  let connections = 0;
  echo.on("connection", () => {
    connections += 1;
  });
  void dialer.run({ host: "127.0.0.1", port });
  await until("the dialer has tried twice", TIMEOUT_MS, {
    holds: () => connections >= 2,
  });
  assert.equal(served, 0);
  dialer.close();
  echo.close();
});

test("the first heartbeat announces the interval that was set", async () => {
  const intervalsMs: number[] = [];
  const serve = async (connection: Connection) => {
    for await (const message of connection.messages) {
      if (message.type === "heartbeat") intervalsMs.push(message.nextMs);
    }
  };
  const listener = new Listener(createCredentials("listener"), createOwner(), {
    serve,
  });
  const [port] = (await freePorts(1)) as [number];
  await listener.listen({ host: "127.0.0.1", port });
  const dialer = new Dialer(createCredentials("dialer"), createOwner(), {
    serve: async (connection) => {
      connection.setIdleHeartbeatMs(HEARTBEAT_MS);
      for await (const _ of connection.messages);
    },
  });
  void dialer.run({ host: "127.0.0.1", port });
  await until("a heartbeat arrives", TIMEOUT_MS, {
    holds: () => intervalsMs.length > 0,
  });
  dialer.close();
  await listener.close();
  assert.equal(intervalsMs[0], HEARTBEAT_MS);
});

test("peers that prove nothing don't keep out one that has the key", async (t) => {
  const { listener, port, peers } = await createListener();
  const mostHandshakes = 512;
  const silent = Array.from({ length: mostHandshakes + 8 }, () =>
    connect(port, "127.0.0.1"),
  );
  for (const socket of silent) {
    socket.on("error", () => undefined);
    socket.resume();
  }
  const closed = () => silent.filter(({ destroyed }) => destroyed).length;
  const authorized = createDialer(FLEET_KEY);
  t.after(async () => {
    authorized.close();
    for (const socket of silent) socket.destroy();
    await listener.close();
  });
  // All end at the deadline of a handshake, 3 s.
  await until("the oldest handshakes are given up", 2_000, {
    holds: () => closed() >= silent.length - mostHandshakes,
  });
  void authorized.run({ host: "127.0.0.1", port });
  await until("the authorized peer is served", TIMEOUT_MS, {
    holds: () => peers.length > 0,
  });
});
