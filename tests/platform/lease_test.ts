/** A lease is held by one process at a time, also under lost answers. */

import assert from "node:assert/strict";
import type { Server } from "node:http";
import { after, before, test } from "node:test";
import type { Clock } from "../../src/common/clock.ts";
import { LEASE_MS, Lease, ObjectStore } from "../../src/platform/mod.ts";
import { portOf, serve } from "../../stand_ins/http.ts";
import { type Faults, noFaults } from "../../stand_ins/platform/faults.ts";
import { Objects } from "../../stand_ins/platform/objects.ts";

const LONG_MS = LEASE_MS * 2;

let server: Server;
let faults: Faults;
let store: ObjectStore;
let names = 0;

before(async () => {
  faults = noFaults();
  const objects = new Objects(faults);
  server = await serve((...args) => objects.handle(...args), 0);
  store = new ObjectStore(`http://127.0.0.1:${portOf(server)}`);
});

after(async () => {
  await store.close();
  server.close();
});

interface Held {
  readonly lease: Lease;
  readonly pass: (ms: number) => void;
}

/** Two processes with clocks of their own, before the same object. */
function createPair(): [Held, Held] {
  names += 1;
  const name = { kind: "key-lease", name: `range-${names}` };
  const create = (instance: string): Held => {
    let nowMs = 0;
    const clock: Clock = { monotonicMs: () => nowMs, wallMs: () => 0 };
    const own = { instance, incarnation: `${instance}-1` };
    const pass = (ms: number) => {
      nowMs += ms;
    };
    return { lease: new Lease(store, name, { clock, own }), pass };
  };
  return [create("a"), create("b")];
}

test("a lease that is held is not given to another", async () => {
  const [a, b] = createPair();
  assert.equal(await a.lease.acquire(), true);
  assert.equal(await b.lease.acquire(), false);
  assert.ok(a.lease.remainingMs > 0);
  assert.equal(b.lease.remainingMs, 0);
  assert.equal(b.lease.holder?.instance, "a");
});

test("a holder that pauses has lost its lease when it wakes", async () => {
  const [a, b] = createPair();
  await a.lease.acquire();
  await b.lease.acquire();
  b.pass(LONG_MS);
  assert.equal(await b.lease.acquire(), true);
  a.pass(LONG_MS);
  assert.equal(a.lease.remainingMs, 0);
  assert.equal(await a.lease.acquire(), false);
});

test("a renewal keeps others out, however long they wait", async () => {
  const [a, b] = createPair();
  await a.lease.acquire();
  for (let round = 0; round < 5; round += 1) {
    await b.lease.acquire();
    a.pass(LEASE_MS / 3);
    b.pass(LEASE_MS / 3);
    assert.equal(await a.lease.acquire(), true);
    assert.equal(await b.lease.acquire(), false);
  }
});

test("a renewal whose answer is lost does not make the lease longer", async () => {
  const [a] = createPair();
  await a.lease.acquire();
  a.pass(LEASE_MS / 3);
  const before = a.lease.remainingMs;
  faults.loseAnswers = 1;
  // The write took effect; the read after it tells, and it is renewed again.
  assert.equal(await a.lease.acquire(), true);
  assert.ok(a.lease.remainingMs > before);
  faults.loseAnswers = 2;
  a.pass(LEASE_MS / 3);
  const left = a.lease.remainingMs;
  assert.equal(await a.lease.acquire(), false);
  assert.ok(a.lease.remainingMs <= left);
});

test("a lease given up can be taken at once", async () => {
  const [a, b] = createPair();
  await a.lease.acquire();
  await a.lease.release();
  assert.equal(a.lease.remainingMs, 0);
  assert.equal(await b.lease.acquire(), true);
});

test("only the first holder ever has created the lease", async () => {
  const [a, b] = createPair();
  await a.lease.acquire();
  await a.lease.release();
  await b.lease.acquire();
  assert.equal(a.lease.created, true);
  assert.equal(b.lease.created, false);
});
