/** Requests in progress, and connections, across a change of configuration. */

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
const STREAM = { streaming: true, repetition: "resumable" } as const;

let fixture: RouterFixture;
let received: ReceivedRequest[];
let callers: Socket[];

afterEach(async () => {
  for (const caller of callers) caller.destroy();
  await fixture.close();
});

/** Starts a router whose servers leave each request to the test. */
async function start(options: RouterFixtureOptions = {}): Promise<void> {
  received = [];
  callers = [];
  const scripts = [(request: ReceivedRequest) => void received.push(request)];
  fixture = await createRouterFixture({ scripts, ...options });
}

const { limits: LIMITS } = createConfiguration();

function change(
  overrides: Partial<FleetConfiguration>,
  version = 2,
): FleetConfiguration {
  return createConfiguration({ version, ...overrides });
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
  raw.requestHead(method, { lines, deadlineMs: 4_000 });

async function send(text = head("GET")): Promise<Caller> {
  const caller = await connectCaller();
  caller.socket.write(text);
  return caller;
}

const untilReceived = (count: number) =>
  until(`${count} requests run`, TIMEOUT_MS, {
    holds: () => received.length >= count,
  });

const untilSeen = ({ seen }: Caller, pattern: RegExp) =>
  until(`the caller gets ${pattern}`, TIMEOUT_MS, {
    holds: () => pattern.test(seen.text),
  });

const respondTo = (index: number) =>
  respondCompletely(received[index] as ReceivedRequest);

const CHANGES: Readonly<Record<string, Partial<FleetConfiguration>>> = {
  "the route is gone": { routes: [] },
  "the service is gone": { services: [] },
  "the service gets an engine": {
    services: [
      {
        ...{ name: "desk", maxConnections: 100, coldStart: null },
        engine: { slots: 8, cacheTokens: 1_000, copiedTokensPerMs: 0 },
      },
    ],
  },
  "the route has another service": {
    routes: [createRoute({ destinations: [{ service: "bar", weight: 1 }] })],
  },
  "the team is gone": { teams: [] },
  "the timeout is lower": { routes: [createRoute({ timeoutMs: 50 })] },
  "the idle limit is lower": { limits: { ...LIMITS, idleTimeoutMs: 100 } },
  "the header limit is lower": { limits: { ...LIMITS, headerTimeoutMs: 100 } },
  "the body limit is lower": { limits: { ...LIMITS, bodyBytes: 2 } },
};

for (const [name, overrides] of Object.entries(CHANGES)) {
  test(`a running request gets its whole response when ${name}`, async () => {
    await start();
    const caller = await send();
    await untilReceived(1);
    fixture.router.configure(change(overrides));
    await delay(400);
    respondTo(0);
    await untilSeen(caller, /200 OK[\s\S]*fine$/);
  });

  test(`a started stream gets its end when ${name}`, async () => {
    const configuration = withRoute(STREAM);
    await start({ configuration });
    const text = head("POST", ["Content-Length: 3"]);
    const caller = await send(`${text}abc`);
    await untilReceived(1);
    const [request] = received;
    assert.ok(request);
    startStream(request, "id: 1\ndata: a\n\n");
    await untilSeen(caller, /data: a\n\n/);
    fixture.router.configure(change(overrides));
    await delay(400);
    writeChunk(request, "id: 2\ndata: b\n\n");
    endStream(request);
    await untilSeen(caller, /data: b\n\n\r\n0\r\n\r\n$/);
  });

  test(`a waiting request is answered or refused when ${name}`, async () => {
    await start({ configuration: withRoute({ objectiveMs: 3_000 }) });
    await Promise.all([send(), send()]);
    await untilReceived(2);
    const waiting = await send();
    await until("a request waits", TIMEOUT_MS, {
      holds: () => fixture.router.waiting === 1,
    });
    fixture.router.configure(change(overrides));
    await delay(200);
    respondTo(0);
    respondTo(1);
    await delay(100);
    if (received.length > 2) respondTo(2);
    await untilSeen(waiting, /(200 OK|503 Service)[\s\S]*(fine|})$/);
  });

  for (const framing of ["length", "chunks"] as const) {
    test(`a half-sent body (${framing}) is answered or refused when ${name}`, async () => {
      await start();
      const isChunked = framing === "chunks";
      const line = isChunked
        ? "Transfer-Encoding: chunked"
        : "Content-Length: 8";
      const caller = await send(head("POST", [line]));
      caller.socket.write(isChunked ? "4\r\nhalf\r\n" : "half");
      await delay(50);
      fixture.router.configure(change(overrides));
      await delay(300);
      caller.socket.write(isChunked ? "4\r\nhalf\r\n0\r\n\r\n" : "half");
      await delay(100);
      if (received.length > 0) respondTo(0);
      await untilSeen(
        caller,
        /(200 OK|404 Not|401 Un|413 Pay|503 Service|504)[\s\S]*(fine|})$/,
      );
    });
  }
}
