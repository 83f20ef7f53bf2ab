/** At most one process holds a lease, even when responses are lost. */

import assert from "node:assert/strict";
import type { Server } from "node:http";
import { after, before, test } from "node:test";
import type { Clock } from "../../src/common/clock.ts";
import { LEASE_MS, Lease, ObjectStore } from "../../src/platform/mod.ts";
import { portOf, serve } from "../../stand_ins/http.ts";
import { type Faults, noFaults } from "../../stand_ins/platform/faults.ts";
import { ObjectApi } from "../../stand_ins/platform/object_api.ts";

const EXPIRED_MS = LEASE_MS * 2;

let server: Server;
let faults: Faults;
let store: ObjectStore;
let leaseCount = 0;

before(async () => {
  faults = noFaults();
  const objects = new ObjectApi(faults);
  server = await serve((...args) => objects.handle(...args), 0);
  store = new ObjectStore(`http://127.0.0.1:${portOf(server)}`);
});

after(async () => {
  await store.close();
  server.close();
});

interface TestProcess {
  readonly lease: Lease;
  readonly advance: (ms: number) => void;
}

/** Returns two processes with separate clocks that share one lease object. */
function createPair(): [TestProcess, TestProcess] {
  leaseCount += 1;
  const name = { kind: "key-lease", name: `range-${leaseCount}` };
  const create = (instance: string): TestProcess => {
    let nowMs = 0;
    const clock: Clock = { monotonicMs: () => nowMs, wallMs: () => 0 };
    const own = { instance, incarnation: `${instance}-1` };
    const advance = (ms: number) => {
      nowMs += ms;
    };
    return { lease: new Lease(store, name, { clock, own }), advance: advance };
  };
  return [create("a"), create("b")];
}

test("a lease that is held can't be acquired by another process", async () => {
  const [a, b] = createPair();
  assert.equal(await a.lease.acquire(), true);
  assert.equal(await b.lease.acquire(), false);
  assert.ok(a.lease.remainingMs > 0);
  assert.equal(b.lease.remainingMs, 0);
  assert.equal(b.lease.holder?.instance, "a");
});

test("a holder that was paused past the expiry has lost its lease", async () => {
  const [a, b] = createPair();
  await a.lease.acquire();
  await b.lease.acquire();
  b.advance(EXPIRED_MS);
  assert.equal(await b.lease.acquire(), true);
  a.advance(EXPIRED_MS);
  assert.equal(a.lease.remainingMs, 0);
  assert.equal(await a.lease.acquire(), false);
});

test("a lease that is renewed can't be acquired by others", async () => {
  const [a, b] = createPair();
  await a.lease.acquire();
  for (let round = 0; round < 5; round += 1) {
    await b.lease.acquire();
    a.advance(LEASE_MS / 3);
    b.advance(LEASE_MS / 3);
    assert.equal(await a.lease.acquire(), true);
    assert.equal(await b.lease.acquire(), false);
  }
});

test("a renewal without a response does not extend the lease", async () => {
  const [a] = createPair();
  await a.lease.acquire();
  a.advance(LEASE_MS / 3);
  const before = a.lease.remainingMs;
  faults.loseAnswers = 1;
  // The write took effect although its response was lost: `acquire` reads the
  // lease, finds it is its own, and renews it again.
  assert.equal(await a.lease.acquire(), true);
  assert.ok(a.lease.remainingMs > before);
  faults.loseAnswers = 2;
  a.advance(LEASE_MS / 3);
  const left = a.lease.remainingMs;
  assert.equal(await a.lease.acquire(), false);
  assert.ok(a.lease.remainingMs <= left);
});

test("a released lease can be acquired immediately", async () => {
  const [a, b] = createPair();
  await a.lease.acquire();
  await a.lease.release();
  assert.equal(a.lease.remainingMs, 0);
  assert.equal(await b.lease.acquire(), true);
});

test("only the first holder ever reports the lease as created", async () => {
  const [a, b] = createPair();
  await a.lease.acquire();
  await a.lease.release();
  await b.lease.acquire();
  assert.equal(a.lease.created, true);
  assert.equal(b.lease.created, false);
});
