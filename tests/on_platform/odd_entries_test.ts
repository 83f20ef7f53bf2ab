/** Entries among those of the servers that another writer has left. */

import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { until } from "../../tools/fleet/until.ts";
import {
  call,
  eventsOf,
  type Program,
  ProgramFleet,
  type RunningRouter,
  respondWith,
} from "./program_fixture.ts";
import {
  createWireConfiguration,
  createWireRoute,
} from "./wire_configuration.ts";

const TIMEOUT_MS = 10_000;
const NESTING = 50_000;
const CALLS = 60;
const ROUNDS = 5;
const CLOSED_PORTS = 40;

const ENTRY = {
  ...{ service: "n", zone: "a", slots: 8, version: "v1", state: "ready" },
  ...{ address: "127.0.0.1:9", born: 1 },
};

/** Stands for a value that is nested so deeply that recursive readers fail. */
const NESTED = "a nested value";
const NESTED_JSON = "[".repeat(NESTING) + "]".repeat(NESTING);

/** Entries that name no server that could be reached. */
const ODD_ENTRIES: Record<string, unknown> = {
  "a list": [],
  "a text": "ready",
  "a number": 7,
  nothing: null,
  "no fields": {},
  "another state": { ...ENTRY, state: "asleep" },
  "another service": { ...ENTRY, service: "unknown" },
  "a port out of range": { ...ENTRY, address: "127.0.0.1:70000" },
  "a negative port": { ...ENTRY, address: "127.0.0.1:-1" },
  "port 0": { ...ENTRY, address: "127.0.0.1:0" },
  "a huge port": { ...ENTRY, address: `127.0.0.1:${"9".repeat(400)}` },
  "no port": { ...ENTRY, address: "127.0.0.1" },
  "an octet over 255": { ...ENTRY, address: "127.0.0.999:80" },
  "octets with zeros": { ...ENTRY, address: "127.000.000.001:80" },
  "no host": { ...ENTRY, address: "0.0.0.0:80" },
  "a group of hosts": { ...ENTRY, address: "224.0.0.1:80" },
  "every host": { ...ENTRY, address: "255.255.255.255:80" },
  "a host name": { ...ENTRY, address: "localhost:80" },
  "huge slots": { ...ENTRY, slots: 1e300 },
  "negative slots": { ...ENTRY, slots: -1 },
  "a huge start": { ...ENTRY, born: 1e300 },
  "a negative start": { ...ENTRY, born: -1 },
  "nested fields": { ...ENTRY, service: { service: ["n"] } },
};

let fleet: ProgramFleet;
let router: RunningRouter;
let admission: Program;

before(async () => {
  const route = createWireRoute({
    ...{ kind: "idempotent", service: "n", authExempt: true },
    maxAttempts: 2,
  });
  fleet = await ProgramFleet.start({
    configuration: createWireConfiguration({ routes: [route] }),
  });
  for (let count = 0; count < 2; count += 1)
    await fleet.addServer(respondWith());
  router = await fleet.startRouter();
  admission = await fleet.startAdmission();
});

after(() => fleet.close());

async function callAll(): Promise<number[]> {
  const calls = Array.from({ length: CALLS }, () => call(router));
  return (await Promise.all(calls)).map(({ status }) => status);
}

/** Whether the router has taken a change that was written after the others. */
async function followsTheList(): Promise<void> {
  const server = await fleet.addServer(respondWith());
  const holds = async () => {
    assert.equal((await call(router)).status, 200);
    return server.requests.length > 0;
  };
  await until("the new server gets requests", TIMEOUT_MS, { holds });
}

function assertRunning(program: Program): void {
  assert.equal(program.process.exitCode, null);
  assert.equal(program.process.signalCode, null);
  assert.deepEqual(eventsOf(program, "defect"), []);
}

test("odd entries of servers end no process, and the list is followed on", async () => {
  fleet.store.encode = (value) =>
    JSON.stringify(value).replaceAll(JSON.stringify(NESTED), NESTED_JSON);
  const deep = { ...ENTRY, address: NESTED };
  fleet.store.put("servers", "deep field", deep);
  fleet.store.put("servers", "deep spec", NESTED);
  for (const [name, spec] of Object.entries(ODD_ENTRIES))
    fleet.store.put("servers", name, spec);
  fleet.store.put("servers", "i-\u2603\r\nX-Odd: 1", ENTRY);
  fleet.store.put("servers", "i".repeat(100_000), ENTRY);
  await followsTheList();
  assert.deepEqual([...new Set(await callAll())], [200]);
  assertRunning(router);
  assertRunning(admission);
});

test("requests go to no odd address beside idle sound servers", async () => {
  const known = eventsOf(router, "server").map(({ server }) => String(server));
  const odd = known
    .filter((name) => !/^i-\d+$/.test(name))
    .map((name) => name.slice(0, 40));
  assert.deepEqual(odd, ["another service"]);
  for (let round = 0; round < ROUNDS; round += 1) {
    for (let count = 0; count < CLOSED_PORTS; count += 1) {
      // Well-formed, but nobody listens there.
      const address = `127.0.${round + 1}.1:${count + 10}`;
      fleet.store.put("servers", `c-${round}-${count}`, { ...ENTRY, address });
    }
    await followsTheList();
    assert.deepEqual([...new Set(await callAll())], [200]);
  }
  assertRunning(router);
});
