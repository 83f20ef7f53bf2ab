/** How often a router is told what other routers know of crashes. */

import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import type { ReceivedRequest } from "../../stand_ins/scripted_server.ts";
import { FaultProxy } from "../../tools/fleet/fault_proxy.ts";
import { freePorts } from "../../tools/fleet/ports.ts";
import { until } from "../../tools/fleet/until.ts";
import { createConfiguration, createRoute } from "../support/routes.ts";
import { createServer } from "../support/servers.ts";
import {
  callWithParts,
  createRouterFixture,
  type RouterFixture,
  respondCompletely,
  serverHeaders,
  startAdmission,
  startRouter,
} from "./fixture.ts";

const TIMEOUT_MS = 10_000;
const HOST = "127.0.0.1";
const DEADLY_PART = "deadly";
/** Further hosts with an admission controller, whose engines take nothing. */
const OTHER_HOSTS = Array.from(
  { length: 15 },
  (_, index) => `127.0.1.${index}`,
);
const CRASHES = 3;
/** Copies of a report that may reach a router: one may be lost on its way. */
const COPIES = 2;
/** Time in which further copies of what a router knows arrive. */
const SETTLE_MS = 1_000;

let lastId = 0;
const closers: (() => unknown)[] = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

/** Starts two routers before servers that crash under a part of a prompt. */
async function createFleet({
  gatePort,
  hosts = [],
}: {
  readonly gatePort: number;
  readonly hosts?: readonly string[];
}) {
  const scripts = Array.from({ length: CRASHES + 1 }, (_, index) => {
    return (received: ReceivedRequest) => {
      const { headers, socket } = received;
      if (!(headers["x-prefix-hash"] ?? "").includes(DEADLY_PART)) {
        respondCompletely(received);
        return;
      }
      const head = `HTTP/1.1 200 OK\r\n${serverHeaders(received)}`;
      socket.write(`${head}Transfer-Encoding: chunked\r\n\r\n`);
      setTimeout(() => reporter.servers[index]?.crash(), 5);
    };
  });
  const engine = { slots: 8, cacheTokens: 10_000, copiedTokensPerMs: 0 };
  const services = [
    { name: "desk", maxConnections: 100, engine, coldStart: null },
  ];
  const routes = [createRoute({ maxAttempts: 1 })];
  const configuration = createConfiguration({ services, routes });
  const options = { configuration, gatePort };
  const reporter = await createRouterFixture({ ...options, scripts });
  closers.push(() => reporter.close());
  const other = await startRouter(reporter.servers, options);
  closers.push(() => other.close());
  for (const { router } of [reporter, other])
    for (const host of hosts)
      router.directory.put(
        createServer({ id: host, host, port: 1, state: "draining" }),
      );
  await until("both routers are connected to every controller", TIMEOUT_MS, {
    holds: async () => {
      const expected = hosts.length + 1;
      const counts = [
        await readConnected(reporter),
        await readConnected(other),
      ];
      return counts.every((connected) => connected === expected);
    },
  });
  return { reporter, other };
}

/** Returns the sum of a metric's series whose labels match. */
async function readMetric(
  { readyPort }: RouterFixture,
  series: RegExp,
): Promise<number> {
  const response = await request(`http://${HOST}:${readyPort}/metrics`);
  const lines = (await response.body.text()).split("\n");
  return lines
    .filter((line) => series.test(line))
    .reduce((sum, line) => sum + Number(line.split(" ").at(-1)), 0);
}

const readConnected = (router: RouterFixture) =>
  readMetric(router, /^oriole_admission_connections /);

const readSuspects = (router: RouterFixture) =>
  readMetric(router, /^oriole_quarantined /);

const readReports = (router: RouterFixture) =>
  readMetric(
    router,
    /^oriole_received_messages_total\{type="(crash-report|sound-report|crash-record)"\} /,
  );

async function call(
  { port }: RouterFixture,
  ...parts: readonly string[]
): Promise<void> {
  lastId += 1;
  await callWithParts(port, { number: lastId, parts });
}

async function crashServers(reporter: RouterFixture): Promise<void> {
  for (let count = 0; count < CRASHES; count += 1)
    await call(reporter, "first", DEADLY_PART);
}

async function waitForSameSuspects(
  reporter: RouterFixture,
  other: RouterFixture,
): Promise<void> {
  await until("the other router has the same suspects", TIMEOUT_MS, {
    holds: async () =>
      (await readSuspects(other)) === (await readSuspects(reporter)),
  });
}

test("what a router finds reaches the others about once, not once for each controller", async () => {
  const [gatePort = 0] = await freePorts(1);
  for (const host of [HOST, ...OTHER_HOSTS]) {
    const admission = await startAdmission(gatePort, { host });
    closers.push(() => admission.close());
  }
  const fleet = await createFleet({ gatePort, hosts: OTHER_HOSTS });
  const { reporter, other } = fleet;
  await crashServers(reporter);
  await waitForSameSuspects(reporter, other);
  const suspects = await readSuspects(other);
  await call(reporter, "first");
  await until("the sound response clears a suspect", TIMEOUT_MS, {
    holds: async () => (await readSuspects(other)) < suspects,
  });
  await delay(SETTLE_MS);
  const facts = CRASHES + 1;
  const reports = await readReports(other);
  assert.ok(reports <= COPIES * facts, `${reports} reports of ${facts} facts`);
  assert.ok((await readReports(reporter)) <= COPIES * facts);
});

test("a new session doesn't repeat what both of its ends know", async () => {
  const [gatePort = 0] = await freePorts(1);
  const admission = await startAdmission(gatePort);
  closers.push(() => admission.close());
  const proxy = await FaultProxy.start(gatePort);
  closers.push(() => proxy.close());
  const { reporter, other } = await createFleet({ gatePort: proxy.port });
  await crashServers(reporter);
  await waitForSameSuspects(reporter, other);
  await delay(SETTLE_MS);
  const before = (await readReports(other)) + (await readReports(reporter));
  proxy.partition();
  await until("a session is lost", TIMEOUT_MS, {
    holds: async () => (await readConnected(other)) === 0,
  });
  proxy.heal();
  await until("the sessions are made again", TIMEOUT_MS, {
    holds: async () =>
      (await readConnected(other)) + (await readConnected(reporter)) === 2,
  });
  await delay(SETTLE_MS);
  const after = (await readReports(other)) + (await readReports(reporter));
  assert.equal(after - before, 0, "reports after the sessions were made again");
});

test("a router that shares no relay with the one that found crashes learns of them", async () => {
  const [gatePort = 0] = await freePorts(1);
  const hosts = OTHER_HOSTS.slice(0, 4);
  for (const host of [HOST, ...hosts]) {
    const admission = await startAdmission(gatePort, { host });
    closers.push(() => admission.close());
  }
  const { reporter } = await createFleet({ gatePort, hosts });
  const engine = { slots: 8, cacheTokens: 10_000, copiedTokensPerMs: 0 };
  const services = [
    { name: "desk", maxConnections: 100, engine, coldStart: null },
  ];
  const configuration = createConfiguration({ services });
  const isolated: RouterFixture[] = [];
  for (const host of hosts) {
    const router = await startRouter([], { configuration, gatePort });
    closers.push(() => router.close());
    const state = "draining";
    router.router.directory.put(
      createServer({ id: host, host, port: 1, state }),
    );
    isolated.push(router);
  }
  await crashServers(reporter);
  for (const router of isolated) await waitForSameSuspects(reporter, router);
});
