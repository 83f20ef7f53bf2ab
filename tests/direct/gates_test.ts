/** Which gates a router stays connected to while servers come and go. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { AdmissionProcess } from "../../src/admission/mod.ts";
import { systemClock } from "../../src/common/clock.ts";
import { EventLog } from "../../src/common/event_log.ts";
import { Gates } from "../../src/direct/gates.ts";
import { RouteTable } from "../../src/routing/mod.ts";
import { freePorts } from "../../tools/fleet/ports.ts";
import { until } from "../../tools/fleet/until.ts";
import { createConfiguration } from "../support/routes.ts";
import { createServer } from "../support/servers.ts";

const TIMEOUT_MS = 5_000;
const HOST = "127.0.0.1";
const fleetKey = "key of the test fleet";
const events = new EventLog("test", (_text, done) => done(null));

async function createWorld() {
  const [port = 0] = await freePorts(1);
  const admission = new AdmissionProcess(
    {
      ...{ instance: "side-1", availabilityZone: "a", service: "desk" },
      ...{ engine: "", listen: { host: HOST, port }, fleetKey },
    },
    { events },
  );
  await admission.start();
  const engine = { slots: 8, cacheTokens: 10_000, copiedTokensPerMs: 0 };
  const services = [{ name: "desk", maxConnections: 100, engine }];
  const table = new RouteTable(createConfiguration({ services }));
  const gates = new Gates(
    {
      ...{ clock: systemClock, events },
      identity: {
        ...{ role: "router", instance: "router-1", incarnation: "1" },
        ...{ availabilityZone: "a", service: "" },
      },
      settings: { gatePort: port, fleetKey },
    },
    {
      table: () => table,
      expectedTokensPerMs: () => 10,
      changed: () => {},
      struck: () => {},
    },
  );
  const close = async () => {
    gates.close();
    await admission.close();
  };
  return { gates, close };
}

test("a gate is kept while the entry of its engine's last life ends", async () => {
  const { gates, close } = await createWorld();
  const old = createServer({ id: "e1", host: HOST, startedAtMs: 1 });
  const present = createServer({ id: "e2", host: HOST, startedAtMs: 2 });
  const gate = gates.of(present);
  gates.of(old);
  const holds = () => gate?.connected === true;
  await until("the gate is connected", TIMEOUT_MS, { holds });
  gates.drop(old);
  assert.equal(gates.of(present), gate);
  assert.equal(gate?.connected, true);
  await close();
});

test("a gate is left once no server is at its host", async () => {
  const { gates, close } = await createWorld();
  const server = createServer({ host: HOST });
  const gate = gates.of(server);
  const holds = () => gate?.connected === true;
  await until("the gate is connected", TIMEOUT_MS, { holds });
  gates.drop(server);
  const isLeft = () => gate?.connected === false;
  await until("the gate is left", TIMEOUT_MS, { holds: isLeft });
  await close();
});
