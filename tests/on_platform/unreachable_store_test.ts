/** Changes of the configuration while a router can't reach the store. */

import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { until } from "../../tools/fleet/until.ts";
import {
  type CallResult,
  call,
  ProgramFleet,
  type RunningRouter,
  respondWith,
  waitForEvent,
} from "./program_fixture.ts";
import {
  createWireConfiguration,
  createWireRoute,
} from "./wire_configuration.ts";

/** Time within which a change must be in force at a router in touch. */
const CONFIG_MS = 2_000;
/** Time after which a router counts as in touch with the store again. */
const STABLE_WINDOW_MS = 3_000;
const TIMEOUT_MS = 10_000;
/** Longer than any time within which a missed version is looked for. */
const MISSED_VERSION_MS = 25_000;

let fleet: ProgramFleet;

beforeEach(async () => {
  fleet = await ProgramFleet.start({
    configuration: createVersion(1),
    bounds: { configMs: CONFIG_MS, stableWindowMs: STABLE_WINDOW_MS },
  });
  await fleet.addServer(respondWith());
});

afterEach(() => fleet.close());

/** Returns a version with one team and one route more than the one before. */
function createVersion(version: number) {
  const names = Array.from({ length: version }, (_, index) => `${index + 1}`);
  return createWireConfiguration({
    version,
    routes: names.map((name) =>
      createWireRoute({
        ...{ name, pathPrefix: `/${name}/`, kind: "idempotent", service: "n" },
      }),
    ),
    tenants: names.map((name) => ({ name, apiKeys: [`key-${name}`] })),
  });
}

function write(version: number): void {
  fleet.store.put("config", "main", createVersion(version));
}

async function callWith(
  router: RunningRouter,
  { key, route }: { readonly key: number; readonly route: number },
): Promise<CallResult> {
  const headers = { authorization: `Token key-${key}` };
  return await call(router, { path: `/${route}/x`, headers });
}

/** Status of a request with the key that a version added, on its route. */
async function statusOf(
  router: RunningRouter,
  version: number,
): Promise<number> {
  return (await callWith(router, { key: version, route: version })).status;
}

/** Statuses of requests of which only the key, or only the route, is new. */
async function statusesOfNew(router: RunningRouter, version: number) {
  const ofKey = await callWith(router, { key: version, route: 1 });
  const ofRoute = await callWith(router, { key: 1, route: version });
  return [ofKey.status, ofRoute.status];
}

async function waitForVersion(
  router: RunningRouter,
  version: number,
  withinMs = TIMEOUT_MS,
): Promise<void> {
  const holds = async () => (await statusOf(router, version)) === 200;
  await until(`version ${version} is in force`, withinMs, { holds });
}

test("a version is in force in time after open connections to the store fell silent", async () => {
  const routers: RunningRouter[] = [];
  for (let count = 0; count < 8; count += 1)
    routers.push(await fleet.startRouter());
  for (let version = 2; version <= 4; version += 1) {
    // Changes of servers leave connections idle that fall silent, too.
    for (const slots of [9, 8]) {
      for (const server of fleet.servers) fleet.announce(server, { slots });
      await delay(700);
    }
    fleet.storeProxy.freeze();
    const silentAtMs = performance.now();
    await delay(400);
    write(version);
    await delay(silentAtMs + STABLE_WINDOW_MS - performance.now());
    const statuses = await Promise.all(
      routers.map((router) => statusOf(router, version)),
    );
    assert.deepEqual(
      statuses,
      routers.map(() => 200),
      `version ${version}`,
    );
  }
});

const OUTAGES = {
  silent: () => {
    fleet.store.responseMode = "silent";
  },
  "503": () => {
    fleet.store.responseMode = "refusing";
  },
  reset: () => fleet.storeProxy.partition(),
} as const;

for (const [name, start] of Object.entries(OUTAGES)) {
  test(`a new key or route isn't refused for good while the store turns the router away: ${name}`, async () => {
    const router = await fleet.startRouter();
    assert.deepEqual(await statusesOfNew(router, 2), [401, 404]);
    start();
    // A watch that waits is still told of the change.
    await waitForEvent(router, "store-lost");
    write(2);
    await delay(CONFIG_MS);
    for (let count = 0; count < 10; count += 1) {
      assert.deepEqual(await statusesOfNew(router, 2), [503, 503]);
      await delay(100);
    }
    fleet.store.responseMode = "serving";
    fleet.storeProxy.heal();
    await waitForVersion(router, 2, STABLE_WINDOW_MS);
    assert.deepEqual(await statusesOfNew(router, 3), [401, 404]);
  });
}

test("requests that waited for a stopped process aren't refused for good", async () => {
  const router = await fleet.startRouter();
  router.process.kill("SIGSTOP");
  write(2);
  const statuses = Promise.all(
    Array.from({ length: 10 }, () => statusesOfNew(router, 2)),
  );
  await delay(CONFIG_MS + 1_000);
  router.process.kill("SIGCONT");
  const refused = (await statuses).flat().filter((status) => status < 500);
  assert.deepEqual(
    refused.filter((status) => status !== 200),
    [],
  );
  await waitForVersion(router, 2);
});

test("a version that no watch has reported is found", async () => {
  const router = await fleet.startRouter();
  fleet.store.isReportingChanges = false;
  write(2);
  fleet.store.isReportingChanges = true;
  await waitForVersion(router, 2, MISSED_VERSION_MS);
});

test("a store whose address has changed is used from the reload on", async () => {
  const router = await fleet.startRouter();
  await fleet.moveStore();
  router.process.kill("SIGHUP");
  await waitForEvent(router, "reload");
  write(2);
  await waitForVersion(router, 2, CONFIG_MS);
});
