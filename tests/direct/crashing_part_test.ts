/** Requests that crash servers by a part of the prompt that they share. */

import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { request } from "undici";
import type { ReceivedRequest } from "../../stand_ins/scripted_server.ts";
import { freePorts } from "../../tools/fleet/ports.ts";
import { until } from "../../tools/fleet/until.ts";
import { createConfiguration, createRoute } from "../support/routes.ts";
import {
  callWithParts,
  createRouterFixture,
  type RouterFixture,
  respondCompletely,
  serverHeaders,
  startAdmission,
  startRouter,
  startStream,
  writeChunk,
} from "./fixture.ts";

const TIMEOUT_MS = 10_000;
const SERVERS = 12;
/** Crashes, and sends beyond them, that the users' rules allow. */
const ALLOWED_SENDS = 5 + 3;
const DEADLY_PART = "deadly";
const HOST = "127.0.0.1";

let fixture: RouterFixture;
let lastId = 0;
const closers: (() => Promise<void>)[] = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
  await fixture.close();
});

/** Sends headers and crashes under the part; answers other requests. */
function createScripts() {
  return Array.from({ length: SERVERS }, (_, index) => {
    return (received: ReceivedRequest) => {
      if (!isDeadly(received)) {
        respondCompletely(received);
        return;
      }
      const head = `HTTP/1.1 200 OK\r\n${serverHeaders(received)}`;
      received.socket.write(`${head}Transfer-Encoding: chunked\r\n\r\n`);
      setTimeout(() => fixture.servers[index]?.crash(), 5);
    };
  });
}

const isDeadly = ({ headers }: ReceivedRequest) =>
  (headers["x-prefix-hash"] ?? "").includes(DEADLY_PART);

const deadlySends = () =>
  fixture.servers.flatMap(({ requests }) => requests).filter(isDeadly).length;

interface Call {
  readonly port?: number;
  /** Ids of the shared parts; the last part is added. */
  readonly parts: readonly string[];
}

/** Sends a request that is like no other; returns its status. */
function call({ port = fixture.port, parts }: Call): Promise<number> {
  lastId += 1;
  return callWithParts(port, { number: lastId, parts });
}

/** Sends a request with the deadly part and parts that no other one has. */
const callDeadly = (port = fixture.port) =>
  call({
    port,
    parts: [`first${lastId}`, DEADLY_PART, `other${lastId}`],
  });

async function startOneRouter(): Promise<void> {
  const route = createRoute({ maxAttempts: 1 });
  const configuration = createConfiguration({ routes: [route] });
  fixture = await createRouterFixture({
    configuration,
    scripts: createScripts(),
  });
}

test("requests that share one part stop reaching servers that it crashes", async () => {
  await startOneRouter();
  for (let count = 0; count < SERVERS; count += 1) await callDeadly();
  const sends = deadlySends();
  assert.ok(sends <= ALLOWED_SENDS, `${sends} sends of the deadly part`);
  assert.equal(await callDeadly(), 503);
});

test("sound requests with the first part of deadly ones are served", async () => {
  await startOneRouter();
  const sound = () => call({ parts: ["first", `other${lastId}`] });
  for (let count = 0; count < SERVERS; count += 1) {
    await call({ parts: ["first", DEADLY_PART] });
    assert.equal(await sound(), 200, `after ${count + 1} deadly requests`);
  }
  assert.ok(deadlySends() <= ALLOWED_SENDS, `${deadlySends()} sends`);
});

test("a first part that only deadly requests had so far isn't refused", async () => {
  await startOneRouter();
  for (let count = 0; count < SERVERS; count += 1)
    await call({ parts: ["first", DEADLY_PART] });
  assert.equal(await call({ parts: ["first"] }), 200);
  assert.ok(deadlySends() <= ALLOWED_SENDS, `${deadlySends()} sends`);
});

test("a part isn't refused for crashes long after its response began", async () => {
  const route = createRoute({ streaming: true, maxAttempts: 1 });
  const scripts = Array.from({ length: SERVERS }, (_, index) => {
    return (received: ReceivedRequest) => {
      startStream(received, "id: 1\ndata: a\n\n");
      setTimeout(() => writeChunk(received, "id: 2\ndata: b\n\n"), 300);
      setTimeout(() => fixture.servers[index]?.crash(), 320);
    };
  });
  const configuration = createConfiguration({ routes: [route] });
  fixture = await createRouterFixture({ configuration, scripts });
  for (let count = 0; count < 5; count += 1)
    assert.equal(await call({ parts: ["sound"] }), 200);
});

function engineConfiguration() {
  const engine = { slots: 8, cacheTokens: 10_000, copiedTokensPerMs: 0 };
  const services = [
    { name: "desk", maxConnections: 100, engine, coldStart: null },
  ];
  const routes = [createRoute({ maxAttempts: 1 })];
  return createConfiguration({ services, routes });
}

/** Number of requests and parts with strikes, as a router reports it. */
async function quarantined({ readyPort }: RouterFixture): Promise<number> {
  const response = await request(`http://${HOST}:${readyPort}/metrics`);
  const [, value] =
    /^oriole_quarantined (\d+)$/m.exec(await response.body.text()) ?? [];
  return Number(value);
}

/** Waits until a router knows the crashes; it must then refuse the part. */
async function assertRefuses(other: RouterFixture): Promise<void> {
  await until("the router knows the crashes", TIMEOUT_MS, {
    holds: async () =>
      (await quarantined(other)) === (await quarantined(fixture)),
  });
  const sends = deadlySends();
  assert.equal(await callDeadly(other.port), 503);
  assert.equal(deadlySends(), sends);
}

test("routers learn of a deadly part though routers and admission restart", async () => {
  const [gatePort = 0] = await freePorts(1);
  const options = { configuration: engineConfiguration(), gatePort };
  let admission = await startAdmission(gatePort);
  closers.push(() => admission.close());
  fixture = await createRouterFixture({ ...options, scripts: createScripts() });
  const second = await startRouter(fixture.servers, options);
  closers.push(() => second.close());
  for (let count = 0; count < 3; count += 1) await callDeadly();
  await assertRefuses(second);
  await admission.close();
  admission = await startAdmission(gatePort);
  const third = await startRouter(fixture.servers, options);
  closers.push(() => third.close());
  await assertRefuses(third);
});
