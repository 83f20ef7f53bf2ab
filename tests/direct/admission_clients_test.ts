/** Which admission processes a router stays connected to as servers change. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { systemClock } from "../../src/common/clock.ts";
import { AdmissionClients } from "../../src/direct/admission_clients.ts";
import { RouteTable, type Service } from "../../src/routing/mod.ts";
import { ADMISSION_HEARTBEAT_MS } from "../../src/transport/mod.ts";
import { FaultProxy } from "../../tools/fleet/fault_proxy.ts";
import { freePorts } from "../../tools/fleet/ports.ts";
import { until } from "../../tools/fleet/until.ts";
import { createDemand, createPrompt } from "../scheduling/demands.ts";
import { createConfiguration } from "../support/routes.ts";
import { createServer } from "../support/servers.ts";
import { events, FLEET_KEY, startAdmission } from "./fixture.ts";

const TIMEOUT_MS = 5_000;
const HOST = "127.0.0.1";

async function createClients({ coldStart = null }: Partial<Service> = {}) {
  const [port = 0] = await freePorts(1);
  const admission = await startAdmission(port);
  const proxy = await FaultProxy.start(port);
  const engine = { slots: 8, cacheTokens: 10_000, copiedTokensPerMs: 0 };
  const services = [{ name: "desk", maxConnections: 100, engine, coldStart }];
  const table = new RouteTable(createConfiguration({ services }));
  const clients = new AdmissionClients(
    {
      ...{ clock: systemClock, events },
      identity: {
        ...{ role: "router", instance: "router-1", incarnation: "1" },
        ...{ availabilityZone: "a", service: "" },
      },
      settings: { gatePort: proxy.port, fleetKey: FLEET_KEY },
    },
    {
      table: () => table,
      expectedTokensPerMs: () => 10,
      coldTerms: () =>
        coldStart && { ...coldStart, remainingMs: 1_200, routers: 2 },
      onChange: () => {},
      crashSummary: () => ({ type: "crash-summary", digest: 0 }),
      onCrashSync: () => [],
      onReport: () => {},
      serverNotices: () => [],
      onServerNotice: () => {},
      evacuations: () => null,
      onEvacuations: () => {},
      onRequestLimit: () => {},
      onOrigin: () => {},
      onConnection: () => {},
    },
  );
  const close = async () => {
    clients.close();
    proxy.close();
    await admission.close();
  };
  return { clients, proxy, close };
}

test("a connection outlasts the entry of a server's predecessor", async () => {
  const { clients, close } = await createClients();
  const predecessor = createServer({ id: "e1", host: HOST, startedAtMs: 1 });
  const successor = createServer({ id: "e2", host: HOST, startedAtMs: 2 });
  const client = clients.of(successor);
  clients.of(predecessor);
  const holds = () => client?.connected === true;
  await until("the client is connected", TIMEOUT_MS, { holds });
  clients.removeServer(predecessor);
  assert.equal(clients.of(successor), client);
  assert.equal(client?.connected, true);
  await close();
});

test("a connection is closed once its host has no server", async () => {
  const { clients, close } = await createClients();
  const server = createServer({ host: HOST });
  const client = clients.of(server);
  const holds = () => client?.connected === true;
  await until("the client is connected", TIMEOUT_MS, { holds });
  clients.removeServer(server);
  const isClosed = () => client?.connected === false;
  await until("the connection is closed", TIMEOUT_MS, { holds: isClosed });
  await close();
});

test("a request isn't kept waiting by a controller that has fallen silent", async () => {
  const { clients, proxy, close } = await createClients();
  const client = clients.of(createServer({ host: HOST }));
  await until("the client is connected", TIMEOUT_MS, {
    holds: () => client?.connected === true,
  });
  proxy.freeze();
  let isPlacedAgain = false;
  const startedMs = performance.now();
  client?.requestPermit(
    {
      demand: createDemand(),
      prompt: createPrompt("head", "own"),
      ...{ copiedTokens: 0, elsewhere: 0, leftMs: 1_000 },
    },
    {
      permitted: () => assert.fail("A silent controller permits nothing"),
      disconnected: () => {
        isPlacedAgain = true;
      },
    },
  );
  await until("the request is placed again", TIMEOUT_MS, {
    holds: () => isPlacedAgain,
  });
  // An idle connection would be noticed after three of its heartbeats.
  const idleMs = 3 * ADMISSION_HEARTBEAT_MS;
  assert.ok(performance.now() - startedMs < idleMs / 2);
  await close();
});

test("a controller that is told of a cold engine reports its pace", async () => {
  const coldStart = { durationMs: 3_000, requestsPerS: 9 };
  const { clients, close } = await createClients({ coldStart });
  try {
    const client = clients.of(createServer({ id: "e1", host: HOST }));
    const holds = () => client?.report?.coldPace !== undefined;
    await until("the pace is reported", TIMEOUT_MS, { holds });
    const { requestsPerS, remainingMs } = client?.report?.coldPace ?? {};
    // One of two routers is connected.
    assert.equal(requestsPerS, 4.5);
    assert.ok((remainingMs ?? 0) > 0 && (remainingMs ?? 0) <= 1_200);
  } finally {
    await close();
  }
});

test("nothing about cold engines is told where they are never cold", async () => {
  const { clients, close } = await createClients();
  try {
    const client = clients.of(createServer({ id: "e1", host: HOST }));
    const holds = () => client?.report !== null;
    await until("a report has come", TIMEOUT_MS, { holds });
    assert.equal("coldPace" in (client?.report ?? {}), false);
  } finally {
    await close();
  }
});
