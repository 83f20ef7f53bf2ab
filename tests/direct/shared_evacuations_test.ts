/** What routers tell each other of emptied zones, and wait for at their start. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { systemClock } from "../../src/common/clock.ts";
import { AdmissionClients } from "../../src/direct/admission_clients.ts";
import { SharedEvacuations } from "../../src/direct/shared_evacuations.ts";
import {
  type EvacuationState,
  unpackEvacuations,
  ZoneEvacuations,
} from "../../src/directory/mod.ts";
import { RouteTable } from "../../src/routing/mod.ts";
import { freePorts } from "../../tools/fleet/ports.ts";
import { until } from "../../tools/fleet/until.ts";
import { createManualClock } from "../support/manual_clock.ts";
import { createConfiguration } from "../support/routes.ts";
import { createServer } from "../support/servers.ts";
import { events, FLEET_KEY, startAdmission } from "./fixture.ts";

const TIMEOUT_MS = 5_000;
const BOUND_MS = 5_000;

function createState(revision: number, zones: readonly string[]) {
  return { era: 1, revision, zones, ageMs: 0 } satisfies EvacuationState;
}

function createShared(boundMs: number | null = BOUND_MS) {
  const clock = createManualClock();
  const evacuations = new ZoneEvacuations(clock);
  const sent: string[] = [];
  const shared = new SharedEvacuations({
    ...{ clock, events, evacuations, boundMs },
    serversIn: () => 0,
    share: ({ zones }, changed) =>
      sent.push(`${zones.join()} (${[...changed].join()})`),
    onChange: () => {},
  });
  return { clock, shared, sent };
}

test("news is passed on once, with the zones that it changes", () => {
  const { shared, sent } = createShared();
  shared.learn(createState(1, []), "store");
  shared.learn(createState(2, ["a"]), "relay");
  shared.learn(createState(2, ["a"]), "relay");
  shared.learn(createState(2, ["a"]), "store");
  shared.learn(createState(3, ["b"]), "store");
  shared.learn(createState(2, ["a"]), "relay");
  assert.deepEqual(sent, ["a (a)", "b (b,a)"]);
});

test("a router that starts waits for the first state, up to the bound", () => {
  const done: string[] = [];
  const told = createShared();
  told.shared.whenKnown(() => done.push("replaced"));
  told.shared.whenKnown(() => done.push("told"));
  told.shared.sweep();
  assert.equal(done.length, 0);
  told.shared.learn(createState(1, []), "relay");
  const untold = createShared();
  untold.shared.whenKnown(() => done.push("untold"));
  untold.clock.advance(BOUND_MS - 1);
  untold.shared.sweep();
  assert.equal(done.join(), "told");
  untold.clock.advance(1);
  untold.shared.sweep();
  untold.shared.whenKnown(() => done.push("later"));
  createShared(null).shared.whenKnown(() => done.push("not watched"));
  assert.equal(done.join(), "told,untold,later,not watched");
});

/** A router's connection to the admission controller at a port. */
function connect(port: number, instance: string) {
  const engine = { slots: 8, cacheTokens: 10_000, copiedTokensPerMs: 0 };
  const services = [
    { name: "desk", maxConnections: 100, engine, coldStart: null },
  ];
  const table = new RouteTable(createConfiguration({ services }));
  const evacuations = new ZoneEvacuations(systemClock);
  const shared = new SharedEvacuations({
    ...{ clock: systemClock, events, evacuations, boundMs: BOUND_MS },
    serversIn: () => 0,
    share: (report, changed) => clients.shareEvacuations(report, changed),
    onChange: () => {},
  });
  const clients: AdmissionClients = new AdmissionClients(
    {
      ...{ clock: systemClock, events },
      identity: {
        ...{ role: "router", instance, incarnation: instance },
        ...{ availabilityZone: "a", service: "" },
      },
      settings: { gatePort: port, fleetKey: FLEET_KEY },
    },
    {
      table: () => table,
      expectedTokensPerMs: () => 10,
      onChange: () => {},
      crashSummary: () => ({ type: "crash-summary", digest: 0 }),
      onCrashSync: () => [],
      onReport: () => {},
      serverNotices: () => [],
      onServerNotice: () => {},
      evacuations: () => shared.report,
      onEvacuations: (report) =>
        shared.learn(unpackEvacuations(report), "relay"),
      onRequestLimit: () => {},
      onOrigin: () => {},
      onConnection: () => {},
    },
  );
  const client = clients.of(createServer({ host: "127.0.0.1" }));
  const connected = () =>
    until(`${instance} is connected`, TIMEOUT_MS, {
      holds: () => client?.connected === true,
    });
  const waitForZones = (...zones: string[]) =>
    until(`${instance} knows ${zones.join()}`, TIMEOUT_MS, {
      holds: () => evacuations.current?.zones.join() === zones.join(),
    });
  return { shared, clients, connected, waitForZones };
}

test("a controller tells connected routers, later ones, and one that is behind", async () => {
  const [port = 0] = await freePorts(1);
  const admission = await startAdmission(port);
  const [first, second] = [connect(port, "r1"), connect(port, "r2")];
  await first.connected();
  await second.connected();
  first.shared.learn(createState(7, ["a", "b"]), "store");
  await second.waitForZones("a", "b");
  second.shared.learn(createState(9, ["b"]), "store");
  await first.waitForZones("b");
  const later = connect(port, "r3");
  await later.waitForZones("b");
  const behind = connect(port, "r4");
  behind.shared.learn(createState(8, ["a"]), "store");
  await behind.waitForZones("b");
  for (const { clients } of [first, second, later, behind]) clients.close();
  await admission.close();
});
