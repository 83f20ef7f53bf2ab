/** Several routers before servers that limit how many requests they take. */

import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import type { AdmissionProcess } from "../../src/admission/mod.ts";
import { ScriptedServer } from "../../stand_ins/scripted_server.ts";
import { freePorts } from "../../tools/fleet/ports.ts";
import { until } from "../../tools/fleet/until.ts";
import { createConfiguration, createRoute } from "../support/routes.ts";
import { createServer } from "../support/servers.ts";
import {
  letOtherTasksRun,
  type RouterFixture,
  serverHeaders,
  startAdmission,
  startRouter,
} from "./fixture.ts";

const TIMEOUT_MS = 10_000;
const ROUTERS = 3;
const CALLS_PER_ROUTER_PER_S = 15;
/** The users' rule: a limit holds from so long after it was first named. */
const SETTLING_MS = 3_000;
const WINDOW_MS = 4_000;
const LIMIT_PER_S = 4;
/** Time in which routers are connected to an admission process on loopback. */
const CONNECT_MS = 1_000;
/** The users' rule, for a window. */
const ALLOWED = 1.5 * LIMIT_PER_S * (WINDOW_MS / 1_000) + 5;

/** A server whose responses name a limit, and the times of its requests. */
interface LimitedServer {
  readonly server: ScriptedServer;
  readonly arrivedAtMs: number[];
  /** Value of the header; null for none. */
  limit: string | null;
}

const limitedServers: LimitedServer[] = [];
let routers: RouterFixture[] = [];
let admission: AdmissionProcess | null = null;

afterEach(async () => {
  await Promise.all(routers.map((router) => router.close()));
  for (const { server } of limitedServers.splice(0)) server.crash();
  await admission?.close();
  routers = [];
  admission = null;
});

async function startServer(limit: string | null): Promise<LimitedServer> {
  const limited: LimitedServer = {
    server: new ScriptedServer((received) => {
      limited.arrivedAtMs.push(performance.now());
      const named =
        limited.limit === null ? "" : `Server-Limit: ${limited.limit}\r\n`;
      const head = `HTTP/1.1 200 OK\r\n${serverHeaders(received)}${named}`;
      received.socket.write(`${head}Content-Length: 4\r\n\r\nfine`);
    }),
    arrivedAtMs: [],
    limit,
  };
  await limited.server.listen();
  limitedServers.push(limited);
  return limited;
}

/** `engine`: the service whose servers have an admission controller. */
async function startRouters(
  gatePort = 1,
  { engine = gatePort === 1 ? "none" : "desk" } = {},
): Promise<void> {
  const terms = { slots: 64, cacheTokens: 400_000, copiedTokensPerMs: 0 };
  const services = ["desk", "chat"].map((name) => ({
    ...{ name, maxConnections: 100, coldStart: null },
    engine: name === engine ? terms : null,
  }));
  const routes = [createRoute({ objectiveMs: 1_000, timeoutMs: 4_000 })];
  const configuration = createConfiguration({ routes, services });
  const servers = limitedServers.map(({ server }) => server);
  const fixtures = Array.from({ length: ROUTERS }, () =>
    startRouter(servers, { configuration, gatePort }),
  );
  routers = await Promise.all(fixtures);
}

interface CallResult {
  readonly status: number;
  readonly tookMs: number;
  readonly retryAfterS: number | null;
}

let lastId = 0;

async function call(
  port: number,
  headers: Record<string, string> = {},
): Promise<CallResult> {
  lastId += 1;
  const sentAtMs = performance.now();
  const response = await request(`http://127.0.0.1:${port}/lookup/1`, {
    headers: {
      host: "desk.example",
      "x-attempt-id": `id-${lastId}`,
      "x-deadline-ms": "4000",
      "x-model": "m",
      "x-token-count": "20,5",
      "x-prefix-hash": `own${lastId}:20`,
      ...headers,
    },
  });
  await response.body.text();
  const retryAfter = response.headers["retry-after"];
  return {
    status: response.statusCode,
    tookMs: performance.now() - sentAtMs,
    retryAfterS: retryAfter === undefined ? null : Number(retryAfter),
  };
}

/** Calls all routers at a steady rate; returns what each caller got. */
async function callFor(
  ms: number,
  headers: Record<string, string> = {},
): Promise<CallResult[]> {
  const results: Promise<CallResult>[] = [];
  const endMs = performance.now() + ms;
  while (performance.now() < endMs) {
    for (const { port } of routers) results.push(call(port, headers));
    await delay(1_000 / CALLS_PER_ROUTER_PER_S);
  }
  return Promise.all(results);
}

/** Calls each router a number of times at once. */
async function callAll(
  called: readonly RouterFixture[],
  times: number,
): Promise<void> {
  const ports = called.flatMap(({ port }) => Array(times).fill(port));
  await Promise.all(ports.map((port) => call(port)));
}

/** Largest number of requests in any window once the limit holds. */
function mostInWindow({ arrivedAtMs }: LimitedServer): number {
  const [first = 0] = arrivedAtMs;
  const counted = arrivedAtMs.filter((atMs) => atMs >= first + SETTLING_MS);
  const counts = counted.map(
    (startMs) =>
      counted.filter((atMs) => atMs >= startMs && atMs < startMs + WINDOW_MS)
        .length,
  );
  return Math.max(0, ...counts);
}

function assertWithinLimit(server: LimitedServer): void {
  const most = mostInWindow(server);
  assert.ok(most <= ALLOWED, `${most} requests, ${ALLOWED} allowed`);
  assert.ok(most >= LIMIT_PER_S, `only ${most} requests were sent`);
}

test("routers together keep within the limit that a plain server names", async () => {
  const limited = await startServer(String(LIMIT_PER_S));
  const other = await startServer(null);
  await startRouters();
  const results = await callFor(SETTLING_MS + WINDOW_MS + 1_000);
  assertWithinLimit(limited);
  // The other server has room for all that the limit leaves.
  assert.ok(results.every(({ status }) => status === 200));
  assert.ok(other.arrivedAtMs.length > results.length / 2);
});

test("routers together keep within the limit that an engine names", async () => {
  const limited = await startServer(String(LIMIT_PER_S));
  const [gatePort = 0] = await freePorts(1);
  admission = await startAdmission(gatePort);
  await startRouters(gatePort);
  await callFor(SETTLING_MS + WINDOW_MS + 1_000);
  assertWithinLimit(limited);
});

test("a limit outlasts the restart of an engine's admission controller", async () => {
  const limited = await startServer(String(LIMIT_PER_S));
  const [gatePort = 0] = await freePorts(1);
  admission = await startAdmission(gatePort);
  await startRouters(gatePort);
  const calls = callFor(SETTLING_MS + WINDOW_MS * 2);
  await delay(SETTLING_MS + 1_000);
  await admission?.close();
  admission = null;
  await delay(1_000);
  admission = await startAdmission(gatePort);
  await calls;
  assertWithinLimit(limited);
});

test("routers tell each other of the limit that a plain server names", async () => {
  const limited = await startServer("0");
  const [gatePort = 0] = await freePorts(1);
  admission = await startAdmission(gatePort);
  await startRouters(gatePort, { engine: "chat" });
  const chat = { id: "c1", service: "chat", host: "127.0.0.1", port: 1 };
  for (const { router } of routers) router.directory.put(createServer(chat));
  const [first, ...others] = routers;
  assert.ok(first);
  // Until each router has the report that counts the last one.
  await delay(CONNECT_MS);
  assert.equal((await call(first.port)).status, 200);
  await letOtherTasksRun();
  await callAll(others, 20);
  assert.ok(limited.arrivedAtMs.length <= 5, `${limited.arrivedAtMs.length}`);
});

test("a limit that others were told holds when the controller is lost", async () => {
  const limited = await startServer("0");
  const [gatePort = 0] = await freePorts(1);
  admission = await startAdmission(gatePort);
  await startRouters(gatePort);
  await delay(CONNECT_MS);
  const [first, ...others] = routers;
  assert.ok(first);
  assert.equal((await call(first.port)).status, 200);
  await delay(CONNECT_MS);
  await admission?.close();
  admission = null;
  await letOtherTasksRun();
  await callAll(others, 20);
  assert.ok(limited.arrivedAtMs.length <= 5, `${limited.arrivedAtMs.length}`);
});

test("requests that don't tell their prompt are counted, too", async () => {
  const limited = await startServer(null);
  const [gatePort = 0] = await freePorts(1);
  admission = await startAdmission(gatePort);
  await startRouters(gatePort);
  await delay(CONNECT_MS);
  const headers = { "x-token-count": "" };
  const calls = routers.map(({ port }) => call(port, headers));
  for (const { status } of await Promise.all(calls)) assert.equal(status, 200);
  limited.limit = String(LIMIT_PER_S);
  await callFor(SETTLING_MS + WINDOW_MS + 1_000, headers);
  assertWithinLimit(limited);
});

test("callers are refused early while every server is at its limit", async () => {
  await startServer(String(LIMIT_PER_S));
  const [gatePort = 0] = await freePorts(1);
  admission = await startAdmission(gatePort);
  await startRouters(gatePort);
  await callFor(SETTLING_MS);
  const results = await callFor(3_000);
  const served = results.filter(({ status }) => status === 200);
  const refused = results.filter(({ status }) => status === 503);
  assert.equal(served.length + refused.length, results.length);
  assert.ok(served.length >= LIMIT_PER_S * 2, `${served.length} were served`);
  assert.ok(refused.length > results.length / 2);
  assert.ok(refused.every(({ retryAfterS }) => (retryAfterS ?? 0) > 0));
  const atOnce = refused.filter(({ tookMs }) => tookMs < 100);
  assert.ok(atOnce.length > refused.length / 2, `${atOnce.length} at once`);
});

test("a server that no longer names a limit gets its share again", async () => {
  for (const gated of [false, true]) {
    const limited = await startServer("0");
    const [gatePort = 0] = await freePorts(1);
    if (gated) admission = await startAdmission(gatePort);
    await startRouters(gated ? gatePort : 1);
    await callFor(2_000);
    limited.limit = null;
    const before = limited.arrivedAtMs.length;
    const holds = async () => {
      await callFor(500);
      return (
        limited.arrivedAtMs.length - before > 2 * CALLS_PER_ROUTER_PER_S * 4
      );
    };
    await until("the server gets requests", TIMEOUT_MS * 3, { holds });
    await Promise.all(routers.map((router) => router.close()));
    limitedServers.splice(0)[0]?.server.crash();
  }
});
