/** A request that crashes the servers that run it. */

import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { request } from "undici";
import type {
  ReceivedRequest,
  ScriptedServer,
} from "../../stand_ins/scripted_server.ts";
import { until } from "../../tools/fleet/until.ts";
import { createConfiguration, createRoute } from "../support/routes.ts";
import {
  announceServer,
  createRouterFixture,
  type RouterFixture,
  respondCompletely,
  startStream,
} from "./fixture.ts";

const TIMEOUT_MS = 10_000;
/** Crashes after which a request is quarantined. */
const STRIKES = 3;
const SERVERS = STRIKES + 2;
/** A quarter of a server's slots: the router assumes three others. */
const RUNS_PER_SERVER = 2;
const CRASHING = "/lookup/crash";
const SLOW = "/lookup/slow";

/** Requests that wait for the test to respond. */
const waiting: ReceivedRequest[] = [];

let fixture: RouterFixture;

afterEach(async () => {
  await fixture.close();
});

/** A server that has received a crashing request. */
interface Crash {
  readonly server: ScriptedServer;
  /** Index of the server in the fixture. */
  readonly index: number;
  readonly received: ReceivedRequest;
}

/** Starts a router and servers; `crash` handles one request, others succeed. */
async function start(crash: (one: Crash) => void): Promise<void> {
  const scripts = Array.from({ length: SERVERS }, (_, index) => {
    return (received: ReceivedRequest) => {
      const server = fixture.servers[index];
      if (received.path === CRASHING && server !== undefined)
        crash({ server, index, received });
      else if (received.path === SLOW) waiting.push(received);
      else respondCompletely(received);
    };
  });
  waiting.length = 0;
  const route = createRoute({ repetition: "non-idempotent", maxAttempts: 1 });
  const configuration = createConfiguration({ routes: [route] });
  fixture = await createRouterFixture({ configuration, scripts });
}

async function call(path: string): Promise<number> {
  const response = await request(`http://127.0.0.1:${fixture.port}${path}`, {
    headers: { host: "desk.example", "x-attempt-id": "id" },
  });
  await response.body.text().catch(() => "");
  return response.statusCode;
}

/** Number of times that the crashing request has reached a server. */
const arrivals = () =>
  fixture.servers
    .flatMap(({ requests }) => requests)
    .filter(({ path }) => path === CRASHING).length;

/** Repeats the request until it is refused; returns how often it arrived. */
async function repeatUntilRefused(): Promise<number> {
  await until("the request is refused", TIMEOUT_MS, {
    holds: async () => (await call(CRASHING)) === 503,
  });
  return arrivals();
}

test("a request is refused after three crashes though nothing else runs", async () => {
  await start(({ server }) => server.crash());
  assert.equal(await repeatUntilRefused(), STRIKES);
  assert.equal(await call("/lookup/innocent"), 200);
});

test("crashes in the middle of a response count", async () => {
  await start(({ server, received }) => {
    startStream(received, "id: 1\ndata: a\n\n");
    setTimeout(() => server.crash(), 10);
  });
  assert.equal(await repeatUntilRefused(), STRIKES);
});

test("crashes count though the server has restarted before it is checked", async () => {
  let starts = 0;
  await start(({ server, index, received }) => {
    received.socket.resetAndDestroy();
    starts += 1;
    const restart = { startedAtMs: starts };
    announceServer(fixture.router, `s${index + 1}`, server.port, restart);
  });
  assert.equal(await repeatUntilRefused(), STRIKES);
});

test("reset connections to servers that live are no crashes", async () => {
  await start(({ received }) => received.socket.resetAndDestroy());
  for (let count = 0; count < STRIKES * 2; count += 1) {
    assert.equal(await call(CRASHING), 502);
  }
});

test("a request isn't sent once three crashes are known, though it waited", async () => {
  const crashing: ScriptedServer[] = [];
  await start(({ server }) => crashing.push(server));
  const broken = Array.from({ length: STRIKES }, () => call(CRASHING));
  await until("the requests run", TIMEOUT_MS, {
    holds: () => crashing.length === STRIKES,
  });
  const others = SERVERS * RUNS_PER_SERVER - STRIKES;
  const slow = Array.from({ length: others }, () => call(SLOW));
  await until("no server has capacity", TIMEOUT_MS, {
    holds: () => waiting.length === others,
  });
  const last = call(CRASHING);
  await until("a request waits", TIMEOUT_MS, {
    holds: () => fixture.router.waiting === 1,
  });
  for (const server of crashing) server.crash();
  assert.deepEqual(await Promise.all(broken), [502, 502, 502]);
  for (const received of waiting) respondCompletely(received);
  assert.equal(await last, 503);
  assert.equal(arrivals(), STRIKES);
  await Promise.all(slow);
});
