/** Following the store through pages, lost history and outages. */

import assert from "node:assert/strict";
import type { Server } from "node:http";
import { afterEach, beforeEach, test } from "node:test";
import { Agent } from "undici";
import { KindFeed } from "../../platform/kind_feed.ts";
import { StoreClient } from "../../platform/store_client.ts";
import { systemClock } from "../../src/common/clock.ts";
import { EventLog } from "../../src/common/event_log.ts";
import { sleep } from "../../src/common/signal.ts";
import { portOf, serve } from "../../stand_ins/http.ts";
import { Store } from "../../stand_ins/store/store.ts";
import { until } from "../../tools/fleet/until.ts";

const TIMEOUT_MS = 10_000;
const events = new EventLog("test", (_text, done) => done(null));

let store: Store;
let server: Server;
let agent: Agent;
let feed: KindFeed;
let known: Map<string, unknown>;
let told: string[];
let confirmedMs: number[];

beforeEach(async () => {
  store = new Store();
  server = await serve((...args) => store.handle(...args), 0);
  agent = new Agent();
  const client = new StoreClient(`127.0.0.1:${portOf(server)}`, agent);
  const parts = { clock: systemClock, events, noticeMs: 3_000 };
  feed = new KindFeed(client, "servers", parts);
  known = new Map();
  told = [];
  confirmedMs = [];
});

afterEach(async () => {
  feed.close();
  await agent.destroy();
  server.close();
  server.closeAllConnections();
});

function follow(): void {
  void feed.run({
    listed: (objects) => {
      told.push("listed");
      known = new Map(objects.map(({ name, spec }) => [name, spec]));
    },
    changed: (changes) => {
      for (const { object, removed } of changes) {
        if (removed) known.delete(object.name);
        else known.set(object.name, object.spec);
      }
    },
    confirmed: ({ monotonicMs }) => confirmedMs.push(monotonicMs),
    lost: () => told.push("lost"),
    regained: () => told.push("regained"),
  });
}

async function isTold(what: string): Promise<void> {
  const holds = () => told.includes(what);
  await until(`the listener is told "${what}"`, TIMEOUT_MS, { holds });
}

async function knows(...names: string[]): Promise<void> {
  const holds = () => [...known.keys()].sort().join() === names.join();
  await until(`the feed knows ${names.join(", ")}`, TIMEOUT_MS, { holds });
}

test("every page of a list is read", async () => {
  store.pageSize = 2;
  for (const name of ["a", "b", "c", "d", "e"]) store.put("servers", name, {});
  store.put("config", "other", {});
  follow();
  await knows("a", "b", "c", "d", "e");
});

test("changes and removals are followed", async () => {
  store.put("servers", "a", {});
  follow();
  await knows("a");
  store.put("servers", "b", {});
  await knows("a", "b");
  store.remove("servers", "a");
  await knows("b");
});

test("a history that is gone is made up for by a list", async () => {
  store.put("servers", "a", {});
  follow();
  await knows("a");
  store.mood = "refusing";
  await isTold("lost");
  store.put("servers", "b", {});
  store.remove("servers", "a");
  store.forget();
  store.mood = "serving";
  await knows("b");
  assert.equal(told.filter((one) => one === "listed").length, 2);
});

test("an outage is told before what came after it", async () => {
  follow();
  await isTold("listed");
  store.mood = "refusing";
  await isTold("lost");
  store.mood = "serving";
  store.put("servers", "a", {});
  await knows("a");
  assert.deepEqual(told, ["listed", "lost", "regained"]);
});

test("a store that falls silent is noticed", async () => {
  follow();
  await isTold("listed");
  store.mood = "silent";
  await isTold("lost");
});

test("a store that tells of no change is known to be so when it tells", async () => {
  follow();
  const holds = () => confirmedMs.length === 2;
  await until("the first watch is over", TIMEOUT_MS, { holds });
  const [listedMs = 0, watchedMs = 0] = confirmedMs;
  const nowMs = systemClock.monotonicMs();
  // The list is as old as its call; the watch lasted for 1,500 ms, less what
  // timers may be early.
  assert.ok(watchedMs - listedMs >= 1_490, `${watchedMs - listedMs} ms later`);
  assert.ok(watchedMs <= nowMs, "what comes later can't be known");
});

test("what changes together costs one call", async () => {
  follow();
  await isTold("listed");
  const before = store.calls;
  for (const name of ["a", "b", "c", "d", "e", "f"]) {
    store.put("servers", name, {});
    await sleep(5);
  }
  await knows("a", "b", "c", "d", "e", "f");
  assert.ok(store.calls - before <= 3, `${store.calls - before} calls`);
});
