/** What a caller's connection carries across changes, timeouts and shutdown. */

import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { afterEach, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import type { FleetConfiguration, Route } from "../../src/routing/mod.ts";
import type { ReceivedRequest } from "../../stand_ins/scripted_server.ts";
import { until } from "../../tools/fleet/until.ts";
import { createConfiguration, createRoute } from "../support/routes.ts";
import {
  createRouterFixture,
  endStream,
  type RouterFixture,
  type RouterFixtureOptions,
  respondCompletely,
  startStream,
  writeChunk,
} from "./fixture.ts";
import type { Caller } from "./raw_caller.ts";
import * as raw from "./raw_caller.ts";

const TIMEOUT_MS = 10_000;
const STREAM = { streaming: true, repetition: "non-idempotent" } as const;
const { limits: LIMITS } = createConfiguration();

let fixture: RouterFixture;
let callers: Socket[] = [];

afterEach(async () => {
  for (const caller of callers) caller.destroy();
  callers = [];
  await fixture.close();
});

async function start(options: RouterFixtureOptions = {}): Promise<void> {
  fixture = await createRouterFixture(options);
}

function withLimits(
  overrides: Partial<FleetConfiguration["limits"]>,
  version = 1,
): FleetConfiguration {
  const limits = { ...LIMITS, ...overrides };
  return createConfiguration({ version, limits });
}

function withRoute(overrides: Partial<Route>, version = 1): FleetConfiguration {
  const routes = [createRoute(overrides)];
  return createConfiguration({ version, routes });
}

async function connectCaller(): Promise<Caller> {
  const caller = await raw.connectCaller(fixture.port);
  callers.push(caller.socket);
  return caller;
}

const head = (method: string, lines: readonly string[] = []) =>
  raw.requestHead(method, { lines, deadlineMs: 6_000 });

const untilSeen = ({ seen }: Caller, pattern: RegExp) =>
  until(
    `the caller gets ${pattern}, not ${seen.text.slice(-300)}`,
    TIMEOUT_MS,
    {
      holds: () => pattern.test(seen.text),
    },
  );

const responses = ({ seen }: Caller) => seen.text.split("HTTP/1.1 ").length - 1;

test("a connection is reused at 4/5 of the idle limit across changes", async () => {
  await start({ configuration: withLimits({ idleTimeoutMs: 1_000 }) });
  const caller = await connectCaller();
  const idleLimits = [1_000, 1_000, 2_000, 2_000, 1_000, 1_000];
  for (const [index, idleTimeoutMs] of idleLimits.entries()) {
    caller.socket.write(head("GET"));
    await until("a response", TIMEOUT_MS, {
      holds: () => responses(caller) === index + 1,
    });
    const inForceMs = idleLimits[index - 1] ?? 1_000;
    fixture.router.configure(withLimits({ idleTimeoutMs }, index + 2));
    await delay(Math.min(inForceMs, idleTimeoutMs) * 0.8);
  }
  assert.equal(caller.seen.end, "open");
});

test("a response that spans a lower idle limit announces that limit", async () => {
  const received: ReceivedRequest[] = [];
  await start({
    configuration: withLimits({ idleTimeoutMs: 9_000 }),
    scripts: [(request) => received.push(request)],
  });
  const caller = await connectCaller();
  caller.socket.write(head("GET"));
  await until("it runs", TIMEOUT_MS, { holds: () => received.length === 1 });
  fixture.router.configure(withLimits({ idleTimeoutMs: 2_000 }, 2));
  respondCompletely(received[0] as ReceivedRequest);
  await untilSeen(caller, /fine$/);
  assert.match(caller.seen.text, /Keep-Alive: timeout=2\r\n/);
});

test("pipelined requests are all answered across a change", async () => {
  const received: ReceivedRequest[] = [];
  await start({ scripts: [(request) => received.push(request)] });
  const caller = await connectCaller();
  caller.socket.write(head("GET") + head("GET") + head("GET"));
  await until("two run", TIMEOUT_MS, { holds: () => received.length === 2 });
  fixture.router.configure(withLimits({ idleTimeoutMs: 100 }, 2));
  await delay(300);
  for (let i = 0; i < 3; i += 1) {
    await until("it runs", TIMEOUT_MS, { holds: () => received.length > i });
    respondCompletely(received[i] as ReceivedRequest);
  }
  await untilSeen(caller, /(HTTP\/1.1 200 OK[\s\S]*){3}fine$/);
});

test("a request that expects 100-continue is answered", async () => {
  await start();
  const caller = await connectCaller();
  const lines = ["Content-Length: 4", "Expect: 100-continue"];
  caller.socket.write(head("POST", lines));
  await untilSeen(caller, /100 Continue\r\n\r\n/);
  fixture.router.configure(withLimits({ idleTimeoutMs: 200 }, 2));
  await delay(500);
  caller.socket.write("body");
  await untilSeen(caller, /200 OK[\s\S]*fine$/);
});

test("a new connection that outlasts the header timeout is told, and nothing runs", async () => {
  await start({ configuration: withLimits({ headerTimeoutMs: 500 }) });
  const caller = await connectCaller();
  await until("the router closes it", TIMEOUT_MS, {
    holds: () => caller.seen.end !== "open",
  });
  assert.match(caller.seen.text, /^HTTP\/1.1 408 [\s\S]*Connection: close/);
  caller.socket.write(head("GET"));
  await delay(200);
  assert.equal(fixture.servers[0]?.requests.length, 0);
});

test("a body in chunks over the limit gives 413", async () => {
  await start();
  const caller = await connectCaller();
  caller.socket.write(head("POST", ["Transfer-Encoding: chunked"]));
  const chunk = "x".repeat(50_000);
  for (let i = 0; i < 3; i += 1)
    caller.socket.write(`${chunk.length.toString(16)}\r\n${chunk}\r\n`);
  caller.socket.write("0\r\n\r\n");
  await untilSeen(caller, /413 Payload Too Large[\s\S]*}$/);
});

test("a stream isn't cut at the timeout of an older configuration", async () => {
  const received: ReceivedRequest[] = [];
  const configuration = withRoute({ ...STREAM, timeoutMs: 600 });
  await start({ configuration, scripts: [(one) => received.push(one)] });
  const caller = await connectCaller();
  caller.socket.write(`${head("POST", ["Content-Length: 1"])}b`);
  await until("it runs", TIMEOUT_MS, { holds: () => received.length === 1 });
  const [request] = received;
  assert.ok(request);
  startStream(request, "id: 1\ndata: a\n\n");
  fixture.router.configure(withRoute({ ...STREAM, timeoutMs: 5_000 }, 2));
  await delay(1_000);
  writeChunk(request, "id: 2\ndata: b\n\n");
  endStream(request);
  await untilSeen(caller, /data: b\n\n\r\n0\r\n\r\n$/);
});

test("requests are answered beside reloads and changes", async () => {
  await start();
  const settings = {
    ...{ instance: "router-1", availabilityZone: "a", entry: "127.0.0.1:1" },
    ...{ ready: "127.0.0.1:1", registry: "127.0.0.1:1", gatePort: 1 },
    ...{ fleetKey: "key of the test fleet", graceSeconds: 1 },
    ...{ revocationMs: 5_000, configurationMs: 2_000, noticeMs: 3_000 },
    retries: { ratio: 0.2, windowSeconds: 10, slack: 52 },
  };
  const caller = await connectCaller();
  for (let i = 0; i < 30; i += 1) {
    caller.socket.write(head("GET"));
    fixture.router.reload(settings);
    fixture.router.configure(withLimits({ idleTimeoutMs: 900 + i }, i + 2));
    await until("a response", TIMEOUT_MS, {
      holds: () => responses(caller) === i + 1,
    });
  }
  assert.equal(caller.seen.text.match(/200 OK/g)?.length, 30);
});
