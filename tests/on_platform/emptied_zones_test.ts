/**
 * Zones that operators empty: routers that learn of it by the store or by each
 * other, one failure at a time.
 */

import assert from "node:assert/strict";
import { readFile, writeFile } from "node:fs/promises";
import { afterEach, beforeEach, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import type { Script } from "../../stand_ins/scripted_server.ts";
import { until } from "../../tools/fleet/until.ts";
import {
  type CallResult,
  call,
  eventsOf,
  ProgramFleet,
  type RunningRouter,
  respondWith,
  waitForEvent,
} from "./program_fixture.ts";
import {
  createWireConfiguration,
  createWireRoute,
} from "./wire_configuration.ts";

const TIMEOUT_MS = 10_000;
/** Bound within which an emptied zone gets no more requests. */
const EVACUATION_MS = 4_000;
const CALL_INTERVAL_MS = 20;
const KIND = "evacuations";

let fleet: ProgramFleet;
/** Times at which requests reached the plain server of each zone. */
let arrivedAtMs: Record<"a" | "b", number[]>;
let scripts: Record<"a" | "b", Script>;

beforeEach(() => startFleet({ evacuateMs: EVACUATION_MS }));

async function startFleet(bounds: object): Promise<void> {
  const route = createWireRoute({
    ...{ kind: "idempotent", service: "n", authExempt: true, maxAttempts: 2 },
    ...{ targetLatencyMs: 1_000 },
  });
  fleet = await ProgramFleet.start({
    configuration: createWireConfiguration({ routes: [route] }),
    bounds: { retrySlack: 1_000, ...bounds },
  });
  arrivedAtMs = { a: [], b: [] };
  scripts = { a: respondWith(), b: respondWith() };
  // The engine beside which the admission controller runs.
  await fleet.addServer(respondWith(), { service: "m", zone: "b" });
  for (const zone of ["a", "b"] as const) {
    const script: Script = (received) => {
      arrivedAtMs[zone].push(performance.now());
      scripts[zone](received);
    };
    await fleet.addServer(script, { zone });
  }
}

afterEach(() => fleet.close());

async function startConnected(): Promise<RunningRouter> {
  const router = await fleet.startRouter();
  await until("the router is connected", TIMEOUT_MS, {
    holds: () => eventsOf(router, "gate-connected").length > 0,
  });
  return router;
}

/** Gives a router an address of the store at which none answers. */
async function cutOffFromStore(router: RunningRouter): Promise<void> {
  const settings = JSON.parse(await readFile(router.settingsPath, "utf8"));
  const registry = "127.0.0.1:1";
  const text = JSON.stringify({ ...settings, registry });
  await writeFile(router.settingsPath, text);
  router.process.kill("SIGHUP");
  await waitForEvent(router, "store-lost");
}

async function waitForChange(
  router: RunningRouter,
  event: "zone-emptied" | "zone-returned",
  zone: string,
): Promise<Record<string, unknown>> {
  const find = () =>
    eventsOf(router, event).find((fields) => fields.zone === zone);
  await until(`${event} ${zone}`, TIMEOUT_MS, {
    holds: () => find() !== undefined,
  });
  return find() ?? {};
}

/** Calls routers at a steady rate, each time from several callers. */
async function callFor(
  routers: readonly RunningRouter[],
  ms: number,
): Promise<CallResult[]> {
  const results: Promise<CallResult>[] = [];
  const endMs = performance.now() + ms;
  while (performance.now() < endMs) {
    for (const router of routers) results.push(call(router), call(router));
    await delay(CALL_INTERVAL_MS);
  }
  return Promise.all(results);
}

function arrivalsAfter(zone: "a" | "b", fromMs: number): number {
  return arrivedAtMs[zone].filter((atMs) => atMs > fromMs).length;
}

test("two zones are emptied and taken back in turn", async () => {
  const router = await fleet.startRouter();
  await callFor([router], 300);
  assert.ok(arrivedAtMs.a.length > 0);
  fleet.store.put(KIND, "a", {});
  const emptied = await waitForChange(router, "zone-emptied", "a");
  assert.equal(emptied.source, "store");
  assert.equal(emptied.servers, 1);
  let sinceMs = performance.now();
  const moved = await callFor([router], 300);
  assert.deepEqual([...new Set(moved.map(({ status }) => status))], [200]);
  assert.equal(arrivalsAfter("a", sinceMs), 0);
  fleet.store.put(KIND, "b", {});
  await waitForChange(router, "zone-emptied", "b");
  const refused = await call(router);
  assert.equal(refused.status, 503);
  assert.ok(refused.tookMs < 500, `refused after ${refused.tookMs} ms`);
  assert.ok((refused.retryAfterS ?? 0) >= 2, `${refused.retryAfterS} s`);
  const ends = () => eventsOf(router, "request").map(({ end }) => end);
  await until("the refusal is logged", TIMEOUT_MS, {
    holds: () => ends().includes("evacuated"),
  });
  fleet.store.remove(KIND, "a");
  await waitForChange(router, "zone-returned", "a");
  sinceMs = performance.now();
  const back = await callFor([router], 300);
  assert.deepEqual([...new Set(back.map(({ status }) => status))], [200]);
  assert.equal(arrivalsAfter("b", sinceMs), 0);
});

test("what runs in a zone is finished when it is emptied", async () => {
  const router = await fleet.startRouter();
  fleet.store.put(KIND, "b", {});
  await waitForChange(router, "zone-emptied", "b");
  scripts.a = (received) => {
    setTimeout(() => respondWith()(received), 1_500);
  };
  const running = call(router);
  await until("it runs", TIMEOUT_MS, { holds: () => arrivedAtMs.a.length > 0 });
  fleet.store.put(KIND, "a", {});
  await waitForChange(router, "zone-emptied", "a");
  assert.equal((await running).status, 200);
  assert.equal(arrivedAtMs.a.length, 1);
  assert.equal(arrivedAtMs.b.length, 0);
});

test("a router that the store turns away learns of it from another router", async () => {
  await fleet.startAdmission();
  const away = await startConnected();
  const inTouch = await startConnected();
  await cutOffFromStore(away);
  fleet.store.put(KIND, "a", {});
  const emptied = await waitForChange(away, "zone-emptied", "a");
  assert.equal(emptied.source, "relay");
  const sinceMs = performance.now();
  await callFor([away, inTouch], 300);
  assert.equal(arrivalsAfter("a", sinceMs), 0);
  fleet.store.remove(KIND, "a");
  await waitForChange(away, "zone-returned", "a");
});

test("a router that starts while a zone is emptied sends nothing there", async () => {
  const before = await fleet.startRouter();
  fleet.store.put(KIND, "a", {});
  await waitForChange(before, "zone-emptied", "a");
  const sinceMs = performance.now();
  const after = await fleet.startRouter();
  const results = await callFor([after], 500);
  assert.deepEqual([...new Set(results.map(({ status }) => status))], [200]);
  assert.equal(arrivalsAfter("a", sinceMs), 0);
});

test("the bound holds after open connections to the store fell silent", async () => {
  const routers = [await fleet.startRouter(), await fleet.startRouter()];
  fleet.storeProxy.freeze();
  await delay(200);
  fleet.store.put(KIND, "a", {});
  const acknowledgedAtMs = performance.now();
  await callFor(routers, EVACUATION_MS + 1_000);
  assert.equal(arrivalsAfter("a", acknowledgedAtMs + EVACUATION_MS), 0);
  assert.ok(arrivalsAfter("b", acknowledgedAtMs + EVACUATION_MS) > 0);
});

test("without the bound in its settings, a router doesn't ask for emptied zones", async () => {
  await fleet.close();
  await startFleet({});
  fleet.store.put(KIND, "a", {});
  const router = await fleet.startRouter();
  await callFor([router], 300);
  assert.ok(arrivedAtMs.a.length > 0);
  assert.deepEqual(eventsOf(router, "zone-emptied"), []);
});
