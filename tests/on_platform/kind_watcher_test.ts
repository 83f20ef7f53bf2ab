/**
 * Watching the store through paged listings, history that is no longer kept,
 * and outages.
 */

import assert from "node:assert/strict";
import type { Server } from "node:http";
import { afterEach, beforeEach, test } from "node:test";
import { KindWatcher } from "../../platform/kind_watcher.ts";
import { StoreClient } from "../../platform/store_client.ts";
import { type Clock, systemClock } from "../../src/common/clock.ts";
import { EventLog } from "../../src/common/event_log.ts";
import { sleep } from "../../src/common/promises.ts";
import { portOf, serve } from "../../stand_ins/http.ts";
import { Store } from "../../stand_ins/store/store.ts";
import { until } from "../../tools/fleet/until.ts";

const TIMEOUT_MS = 10_000;
const events = new EventLog("test", (_text, done) => done(null));

let store: Store;
let server: Server;
let client: StoreClient;
let watcher: KindWatcher;
let knownObjects: Map<string, unknown>;
let calls: string[];
let confirmedMs: number[];
/** How old each confirmation was when the next one came. */
let confirmedAgesMs: number[];
/** By how much the watcher's clock is ahead of the system's. */
let clockAheadMs: number;

beforeEach(async () => {
  store = new Store();
  server = await serve((...args) => store.handle(...args), 0);
  client = new StoreClient(`127.0.0.1:${portOf(server)}`);
  clockAheadMs = 0;
  const clock: Clock = {
    monotonicMs: () => systemClock.monotonicMs() + clockAheadMs,
    wallMs: () => systemClock.wallMs() + clockAheadMs,
  };
  const times = { noticeMs: 3_000, confirmationMs: null };
  watcher = new KindWatcher(client, "servers", { clock, events, times });
  knownObjects = new Map();
  calls = [];
  confirmedMs = [];
  confirmedAgesMs = [];
});

afterEach(async () => {
  watcher.close();
  await client.close();
  server.close();
  server.closeAllConnections();
});

function startWatcher(): void {
  void watcher.run({
    onListed: (objects) => {
      calls.push("listed");
      knownObjects = new Map(objects.map(({ name, spec }) => [name, spec]));
    },
    onChanged: (changes) => {
      for (const { object, removed } of changes) {
        if (removed) knownObjects.delete(object.name);
        else knownObjects.set(object.name, object.spec);
      }
    },
    onConfirmed: ({ monotonicMs }) => {
      const nowMs = systemClock.monotonicMs();
      confirmedAgesMs.push(nowMs - (confirmedMs.at(-1) ?? nowMs));
      confirmedMs.push(monotonicMs);
    },
    onStoreLost: () => calls.push("lost"),
    onStoreRegained: () => calls.push("regained"),
    onHistory: null,
    onStoreRestored: () => calls.push("restored"),
  });
}

async function waitForCall(callback: string): Promise<void> {
  const holds = () => calls.includes(callback);
  await until(`the watcher calls "${callback}"`, TIMEOUT_MS, { holds });
}

async function waitForObjects(...names: string[]): Promise<void> {
  const holds = () => [...knownObjects.keys()].sort().join() === names.join();
  await until(`the objects are ${names.join(", ")}`, TIMEOUT_MS, { holds });
}

test("all pages of a listing are read", async () => {
  store.pageSize = 2;
  for (const name of ["a", "b", "c", "d", "e"]) store.put("servers", name, {});
  store.put("config", "other", {});
  startWatcher();
  await waitForObjects("a", "b", "c", "d", "e");
});

test("changes and removals are passed on", async () => {
  store.put("servers", "a", {});
  startWatcher();
  await waitForObjects("a");
  store.put("servers", "b", {});
  await waitForObjects("a", "b");
  store.remove("servers", "a");
  await waitForObjects("b");
});

test("objects are listed again when the history is gone", async () => {
  store.put("servers", "a", {});
  startWatcher();
  await waitForObjects("a");
  store.responseMode = "refusing";
  await waitForCall("lost");
  store.put("servers", "b", {});
  store.remove("servers", "a");
  store.compactHistory();
  store.responseMode = "serving";
  await waitForObjects("b");
  assert.equal(calls.filter((call) => call === "listed").length, 2);
});

test("an outage and its end are reported before later changes", async () => {
  startWatcher();
  await waitForCall("listed");
  store.responseMode = "refusing";
  await waitForCall("lost");
  store.responseMode = "serving";
  store.put("servers", "a", {});
  await waitForObjects("a");
  assert.deepEqual(calls, ["listed", "lost", "regained"]);
});

test("objects whose events can't be read are listed", async () => {
  startWatcher();
  await waitForCall("listed");
  store.encode = (value) => JSON.stringify(value).replaceAll('"object"', '"o"');
  store.put("servers", "a", {});
  await waitForObjects("a");
});

test("a store that comes back from a copy is listed anew", async () => {
  store.put("servers", "a", {});
  const copy = store.copy();
  store.put("servers", "lost", {});
  startWatcher();
  await waitForObjects("a", "lost");
  store.responseMode = "refusing";
  await waitForCall("lost");
  store.restore(copy);
  // The first revision of the new era is the last one that the watcher knows.
  for (const name of ["b", "c"]) store.put("servers", name, {});
  store.responseMode = "serving";
  await waitForObjects("a", "b", "c");
});

test("a store that comes back unnoticed has lost what it acknowledged", async () => {
  store.put("servers", "a", {});
  const copy = store.copy();
  startWatcher();
  await waitForObjects("a");
  store.put("servers", "b", {});
  await waitForObjects("a", "b");
  store.restore(copy);
  await waitForObjects("a");
  assert.deepEqual(calls.slice(-2), ["restored", "listed"]);
});

test("a store that stops answering is reported as lost", async () => {
  startWatcher();
  await waitForCall("listed");
  store.responseMode = "silent";
  await waitForCall("lost");
});

test("a watch without changes confirms the state until its end", async () => {
  startWatcher();
  const holds = () => confirmedMs.length === 2;
  await until("the first watch is over", TIMEOUT_MS, { holds });
  const [listedMs = 0, watchedMs = 0] = confirmedMs;
  const nowMs = systemClock.monotonicMs();
  // The listing is confirmed as of its call. The watch lasted for 1,500 ms;
  // timers may fire up to 10 ms early.
  assert.ok(watchedMs - listedMs >= 1_490, `${watchedMs - listedMs} ms later`);
  assert.ok(watchedMs <= nowMs, "confirmed a moment in the future");
});

test("a response that is read after a pause confirms the start of its watch", async () => {
  startWatcher();
  await waitForCall("listed");
  await sleep(100);
  clockAheadMs = 6_000;
  const holds = () => confirmedMs.length === 2;
  await until("the first watch is over", TIMEOUT_MS, { holds });
  const [listedMs = 0, watchedMs = 0] = confirmedMs;
  assert.ok(watchedMs - listedMs < 1_000, `${watchedMs - listedMs} ms later`);
});

test("confirmations that are relied on stay recent when changes come late in a watch", async () => {
  const confirmationMs = 2_000;
  watcher.setTimes({ noticeMs: 3_000, confirmationMs });
  startWatcher();
  await waitForCall("listed");
  for (const name of ["a", "b", "c"]) {
    await sleep(1_300);
    store.put("servers", name, {});
  }
  await sleep(2_000);
  const oldest = Math.max(...confirmedAgesMs);
  assert.ok(oldest < confirmationMs, `confirmed ${oldest} ms ago`);
});

test("changes at about the same time are fetched in few calls", async () => {
  startWatcher();
  await waitForCall("listed");
  const callsBefore = store.calls;
  for (const name of ["a", "b", "c", "d", "e", "f"]) {
    store.put("servers", name, {});
    await sleep(5);
  }
  await waitForObjects("a", "b", "c", "d", "e", "f");
  assert.ok(
    store.calls - callsBefore <= 3,
    `${store.calls - callsBefore} calls`,
  );
});
