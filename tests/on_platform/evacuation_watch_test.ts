/** Watching the entries that empty zones, through failures of the store. */

import assert from "node:assert/strict";
import type { Server } from "node:http";
import { afterEach, beforeEach, test } from "node:test";
import { EvacuationWatch } from "../../platform/evacuation_watch.ts";
import { StoreClient } from "../../platform/store_client.ts";
import { systemClock } from "../../src/common/clock.ts";
import { EventLog } from "../../src/common/event_log.ts";
import { sleep } from "../../src/common/promises.ts";
import { ZoneEvacuations } from "../../src/directory/mod.ts";
import { portOf, serve } from "../../stand_ins/http.ts";
import { Store } from "../../stand_ins/store/store.ts";
import { FaultProxy } from "../../tools/fleet/fault_proxy.ts";
import { until } from "../../tools/fleet/until.ts";

const TIMEOUT_MS = 10_000;
const KIND = "evacuations";
const events = new EventLog("test", (_text, done) => done(null));

let store: Store;
let server: Server;
let proxy: FaultProxy;
let client: StoreClient;
let watch: EvacuationWatch;
let evacuations: ZoneEvacuations;
let states: number;

beforeEach(async () => {
  store = new Store();
  server = await serve((...args) => store.handle(...args), 0);
  proxy = await FaultProxy.start(portOf(server));
  client = new StoreClient(`127.0.0.1:${proxy.port}`);
  watch = new EvacuationWatch(client, { clock: systemClock, events });
  evacuations = new ZoneEvacuations(systemClock);
  states = 0;
});

afterEach(async () => {
  watch.close();
  await client.close();
  proxy.close();
  server.close();
  server.closeAllConnections();
});

async function startWatch(): Promise<void> {
  void watch.run((state) => {
    states += 1;
    evacuations.learn(state, "store");
  });
  await until("the zones are listed", TIMEOUT_MS, { holds: () => states > 0 });
}

async function waitForZones(...zones: string[]): Promise<void> {
  const holds = () => evacuations.current?.zones.join() === zones.join();
  await until(`the zones are ${zones.join(", ")}`, TIMEOUT_MS, { holds });
}

test("entries empty zones, whatever their content, until they are removed", async () => {
  store.put(KIND, "a", {});
  await startWatch();
  await waitForZones("a");
  store.put(KIND, "b", "odd");
  await waitForZones("a", "b");
  store.put(KIND, "b", { since: 1 });
  store.put(KIND, "z".repeat(300), {});
  store.put(KIND, "c", null);
  await waitForZones("a", "b", "c");
  store.remove(KIND, "b");
  store.remove(KIND, "c");
  await waitForZones("a");
});

test("without changes, a watch that waits is the only call", async () => {
  await startWatch();
  await sleep(2_000);
  assert.equal(store.calls, 2);
});

test("a change on a connection that fell silent is found once another call has failed", async () => {
  await startWatch();
  await sleep(100);
  proxy.freeze();
  store.put(KIND, "a", {});
  await sleep(300);
  assert.equal(evacuations.isEmpty, true);
  // The listing is too recent to be silent as long as the lost call.
  watch.checkConnection();
  await sleep(300);
  assert.equal(store.calls, 2);
  await sleep(600);
  watch.checkConnection();
  await waitForZones("a");
});

test("a change that no watch has reported is found after a refresh", async () => {
  await startWatch();
  await sleep(100);
  store.isReportingChanges = false;
  store.put(KIND, "a", {});
  store.isReportingChanges = true;
  watch.refresh();
  await waitForZones("a");
});

test("a reported change counts although the listing after it fails", async () => {
  await startWatch();
  await sleep(100);
  store.responseMode = "refusing";
  store.put(KIND, "a", {});
  await waitForZones("a");
});

test("what is known stays while the store is away, and is listed after", async () => {
  store.put(KIND, "a", {});
  await startWatch();
  await waitForZones("a");
  store.responseMode = "refusing";
  watch.refresh();
  await sleep(300);
  assert.equal(evacuations.isEmptied("a"), true);
  store.remove(KIND, "a");
  store.put(KIND, "b", {});
  store.compactHistory();
  store.responseMode = "serving";
  watch.retry();
  await waitForZones("b");
});

test("a store that comes back from a copy is believed", async () => {
  const copy = store.copy();
  for (const zone of ["a", "b"]) store.put(KIND, zone, {});
  await startWatch();
  await waitForZones("a", "b");
  store.restore(copy);
  await waitForZones();
});
