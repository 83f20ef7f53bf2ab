/** What counts as a crash of a server, and what doesn't. */

import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { afterEach, test } from "node:test";
import { BackendConnection } from "../../src/direct/backend_connection.ts";
import { ConnectionPool } from "../../src/direct/connection_pool.ts";
import { CrashGuard } from "../../src/direct/crash_guard.ts";
import { ScriptedServer } from "../../stand_ins/scripted_server.ts";
import { until } from "../../tools/fleet/until.ts";
import { createManualClock } from "../support/manual_clock.ts";
import { createServer } from "../support/servers.ts";
import { events, neverRespond } from "./fixture.ts";

const TIMEOUT_MS = 5_000;
const HOST = "127.0.0.1";
/** Connections after which the silent server's queue is full. */
const CONNECTIONS = 8;
/** Listens, prints its port and never accepts a connection. */
const SILENT_SERVER = `
const server = require("node:net").createServer();
server.listen({ host: "${HOST}", port: 0, backlog: 1 }, () => {
  require("node:fs").writeSync(1, String(server.address().port));
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0);
});`;

const closers: (() => unknown)[] = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

async function startSilentServer(): Promise<number> {
  const child: ChildProcess = spawn(process.execPath, ["-e", SILENT_SERVER]);
  closers.push(() => child.kill("SIGKILL"));
  const [port] = (await once(child.stdout ?? child, "data")) as [Buffer];
  return Number(port);
}

/** Returns a guard that has seen a response of a listening server break off. */
async function createGuard() {
  const listening = new ScriptedServer(neverRespond);
  await listening.listen();
  const pool = new ConnectionPool();
  closers.push(() => listening.crash());
  closers.push(() => pool.close());
  const clock = createManualClock();
  const guard = new CrashGuard({ clock, events, pool, send: () => {} });
  const server = createServer({ host: HOST, port: listening.port });
  guard.handleBroken(server, { fingerprint: "f", parts: ["a"] });
  await until("the server is probed", TIMEOUT_MS, {
    holds: () => listening.connections === 1,
  });
  return { guard, server };
}

test("a server that falls silent and goes on hasn't crashed", async () => {
  const { guard, server } = await createGuard();
  const reason = "No connection in 500 ms";
  guard.handleUnreachable(server, { kind: "silent", reason, request: null });
  assert.equal(guard.suspects, 0);
});

test("a silent server has crashed if its entry lapses", async () => {
  const { guard, server } = await createGuard();
  const reason = "No connection in 500 ms";
  guard.handleUnreachable(server, { kind: "silent", reason, request: null });
  guard.handleChange({ type: "left", server });
  assert.equal(guard.suspects, 2);
});

test("a server that refuses connections has crashed", async () => {
  const { guard, server } = await createGuard();
  const reason = "connect ECONNREFUSED";
  guard.handleUnreachable(server, { kind: "refused", reason, request: null });
  assert.equal(guard.suspects, 2);
});

test("a connection attempt without reply is told from a refused one", async () => {
  const port = await startSilentServer();
  const kinds = new Set<string>();
  for (let count = 0; count < CONNECTIONS; count += 1) {
    const opened = await BackendConnection.open(
      createServer({ host: HOST, port }),
    );
    if (opened.isErr()) kinds.add(opened.error.kind);
    else closers.push(() => opened.value.destroy());
  }
  assert.deepEqual([...kinds], ["silent"]);
  const closed = new ScriptedServer(neverRespond);
  await closed.listen();
  const unused = createServer({ host: HOST, port: closed.port });
  closed.crash();
  const refused = await BackendConnection.open(unused);
  assert.equal(refused.isErr() && refused.error.kind, "refused");
});
