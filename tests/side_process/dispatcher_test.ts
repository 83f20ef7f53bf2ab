/**
 * Dispatcher: free slots are granted to the least served team, unused grants
 * go to another team, and nothing starts while the server is down.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { type Clock, systemClock } from "../../src/common/clock.ts";
import { ActiveConfiguration } from "../../src/configuration/mod.ts";
import { Ledger, UpdatePublisher } from "../../src/fairness/mod.ts";
import type { RunRequest } from "../../src/protocol/mod.ts";
import {
  Dispatcher,
  type GrantReceiver,
} from "../../src/side_process/dispatcher.ts";

interface Granted {
  readonly grant: number;
  readonly team: string;
}

class FakeRouter implements GrantReceiver {
  readonly grants: Granted[] = [];
  readonly free: number[] = [];

  sendGrant(grant: number, team: string): void {
    this.grants.push({ grant, team });
  }

  sendAvailability(free: number): void {
    this.free.push(free);
  }
}

function createDispatcher(slots: number, grantsAhead = 0): Dispatcher {
  const clock: Clock = systemClock;
  const ledger = new Ledger("origin");
  const publisher = new UpdatePublisher(ledger, clock);
  const active = new ActiveConfiguration(clock);
  return new Dispatcher(
    { clock, active, ledger, publisher },
    { slots, grantsAhead },
  );
}

function createRun(team: string, grant: number, waiting = 0): RunRequest {
  return {
    type: "run",
    attempt: "1.1",
    grant,
    team,
    kind: "default",
    method: "POST",
    path: "/",
    headers: [],
    body: Buffer.alloc(0),
    idempotent: true,
    idempotencyKey: "",
    remainingMs: 1_000,
    costHint: 0,
    waiting,
  };
}

test("admits a run without a grant while slots are free and none waits", () => {
  const dispatcher = createDispatcher(2);
  const router = new FakeRouter();
  assert.equal(dispatcher.admit(router, createRun("a", 0)).type, "admitted");
  assert.equal(dispatcher.admit(router, createRun("a", 0)).type, "admitted");
  assert.equal(dispatcher.admit(router, createRun("a", 0)).type, "busy");
});

test("grants a slot ahead to a request that only a run without a grant tells of", () => {
  const dispatcher = createDispatcher(2, 1);
  const router = new FakeRouter();
  dispatcher.admit(router, createRun("a", 0));
  dispatcher.admit(router, createRun("a", 0, 1));
  assert.deepEqual(
    router.grants.map(({ team }) => team),
    ["a"],
  );
});

test("grants the next slot to a request that only a refused run tells of", () => {
  const dispatcher = createDispatcher(1);
  const router = new FakeRouter();
  dispatcher.admit(router, createRun("a", 0));
  const refused = dispatcher.admit(router, createRun("a", 0, 1));
  assert.equal(refused.type, "busy");
  dispatcher.release();
  assert.equal(router.grants.length, 1);
});

test("notifies a router refused as busy once a slot is free", () => {
  const dispatcher = createDispatcher(1);
  const router = new FakeRouter();
  const first = dispatcher.admit(router, createRun("a", 0));
  assert.equal(first.type, "admitted");
  dispatcher.admit(router, createRun("a", 0));
  assert.deepEqual(router.free, []);
  if (first.type === "admitted") first.charge.cancel();
  dispatcher.release();
  assert.deepEqual(router.free, [1]);
});

test("grants slots to waiting teams in turn, whatever their demand", () => {
  const dispatcher = createDispatcher(4);
  const router = new FakeRouter();
  dispatcher.setPaused(true);
  dispatcher.setDemand(router, [
    ["flood", 1_000, 0],
    ["small", 2, 0],
  ]);
  dispatcher.setPaused(false);
  const teams = router.grants.map(({ team }) => team).sort();
  assert.deepEqual(teams, ["flood", "flood", "small", "small"]);
});

test("gives the slot of an unused grant to another team", () => {
  const dispatcher = createDispatcher(1);
  const router = new FakeRouter();
  dispatcher.setDemand(router, [
    ["a", 1, 0],
    ["b", 1, 0],
  ]);
  const [{ grant, team } = { grant: 0, team: "" }] = router.grants;
  const unused = { type: "grant-unused", grant, team, waiting: 0 } as const;
  dispatcher.returnGrant(router, unused);
  const other = team === "a" ? "b" : "a";
  assert.equal(router.grants.at(-1)?.team, other);
  assert.equal(dispatcher.outstanding, 1);
});

test("grants and admits nothing while paused", () => {
  const dispatcher = createDispatcher(2);
  const router = new FakeRouter();
  dispatcher.setPaused(true);
  dispatcher.setDemand(router, [["a", 5, 0]]);
  assert.equal(router.grants.length, 0);
  assert.equal(dispatcher.admit(router, createRun("a", 0, 5)).type, "busy");
  assert.equal(router.grants.length, 0);
  dispatcher.setPaused(false);
  assert.equal(router.grants.length, 2);
});

test("removes the demand of a disconnected router", () => {
  const dispatcher = createDispatcher(1);
  const disconnected = new FakeRouter();
  const connected = new FakeRouter();
  dispatcher.setPaused(true);
  dispatcher.setDemand(disconnected, [["a", 9, 0]]);
  dispatcher.setDemand(connected, [["b", 1, 0]]);
  dispatcher.removeRouter(disconnected);
  dispatcher.setPaused(false);
  assert.equal(disconnected.grants.length, 0);
  assert.equal(connected.grants.length, 1);
});
