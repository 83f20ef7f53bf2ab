/** Which admission processes a router stays connected to as servers change. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { systemClock } from "../../src/common/clock.ts";
import { AdmissionClients } from "../../src/direct/admission_clients.ts";
import { RouteTable } from "../../src/routing/mod.ts";
import { freePorts } from "../../tools/fleet/ports.ts";
import { until } from "../../tools/fleet/until.ts";
import { createConfiguration } from "../support/routes.ts";
import { createServer } from "../support/servers.ts";
import { events, FLEET_KEY, startAdmission } from "./fixture.ts";

const TIMEOUT_MS = 5_000;
const HOST = "127.0.0.1";

async function createClients() {
  const [port = 0] = await freePorts(1);
  const admission = await startAdmission(port);
  const engine = { slots: 8, cacheTokens: 10_000, copiedTokensPerMs: 0 };
  const services = [{ name: "desk", maxConnections: 100, engine }];
  const table = new RouteTable(createConfiguration({ services }));
  const clients = new AdmissionClients(
    {
      ...{ clock: systemClock, events },
      identity: {
        ...{ role: "router", instance: "router-1", incarnation: "1" },
        ...{ availabilityZone: "a", service: "" },
      },
      settings: { gatePort: port, fleetKey: FLEET_KEY },
    },
    {
      table: () => table,
      expectedTokensPerMs: () => 10,
      onChange: () => {},
      crashReports: () => [],
      onReport: () => {},
      onRequestLimit: () => {},
      onOrigin: () => {},
      onConnection: () => {},
    },
  );
  const close = async () => {
    clients.close();
    await admission.close();
  };
  return { clients, close };
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
