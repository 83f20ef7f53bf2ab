/**
 * Guards against ledgers that diverge when updates are reordered, repeated or
 * lost, and against unfair credit and unbounded debt of teams.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { MAX_UNUSED_COLLECTIONS } from "../../src/fairness/ledger.ts";
import { Ledger, type LedgerEntry } from "../../src/fairness/mod.ts";

const SEED = 4711;
const TOLERANCE = 1e-6;

interface Charge {
  readonly origin: number;
  readonly team: string;
  readonly amount: number;
}

const team = fc.constantFrom("a", "b", "c");
const charge: fc.Arbitrary<Charge> = fc.record({
  origin: fc.nat({ max: 2 }),
  team,
  amount: fc.integer({ min: -5, max: 100 }),
});

function createLedgers(): Ledger[] {
  return [0, 1, 2].map((origin) => new Ledger(`origin-${origin}`));
}

function exchangeSnapshots(ledgers: readonly Ledger[]): void {
  const updates = ledgers.flatMap((ledger) => ledger.snapshot());
  for (const ledger of ledgers) mergeUpdates(ledger, updates);
}

/** Calls `collect` until unused teams are dropped. */
function collectUnused(ledger: Ledger): void {
  for (let count = 0; count <= MAX_UNUSED_COLLECTIONS; count += 1)
    ledger.collect();
}

function mergeUpdates(ledger: Ledger, updates: readonly LedgerEntry[]): void {
  for (const update of updates) ledger.merge(update);
}

function assertSameServices(ledgers: readonly Ledger[]): void {
  for (const name of ["a", "b", "c"]) {
    const [first = 0, ...rest] = ledgers.map((one) => one.totalService(name));
    for (const service of rest)
      assert.ok(Math.abs(service - first) < TOLERANCE);
  }
}

test("reordered, repeated or lost updates lead to the same services", () => {
  fc.assert(
    fc.property(
      fc.array(charge, { maxLength: 40 }),
      fc.infiniteStream(fc.nat()),
      (charges, choices) => {
        const ledgers = createLedgers();
        const updates: LedgerEntry[] = [];
        for (const { origin, team, amount } of charges) {
          const ledger = ledgers[origin] as Ledger;
          ledger.charge(team, amount);
          updates.push(ledger.entry(team) as LedgerEntry);
        }
        // Each ledger gets a random part of the updates, some of them twice.
        for (const ledger of ledgers) {
          for (const update of updates) {
            const times = (choices.next().value ?? 0) % 3;
            for (let time = 0; time < times; time += 1) ledger.merge(update);
          }
        }
        for (let round = 0; round < 3; round += 1) exchangeSnapshots(ledgers);
        assertSameServices(ledgers);
      },
    ),
    { seed: SEED },
  );
});

test("no charge is lost when counters are exchanged", () => {
  fc.assert(
    fc.property(
      fc.array(
        charge.filter(({ amount }) => amount >= 0),
        { maxLength: 30 },
      ),
      (charges) => {
        const ledgers = createLedgers();
        // All ledgers know the teams first, so that no epoch changes later.
        for (const name of ["a", "b", "c"]) ledgers[0]?.charge(name, 1);
        exchangeSnapshots(ledgers);
        let expected = 1;
        for (const { origin, team, amount } of charges) {
          ledgers[origin]?.charge(team, amount);
          if (team === "a") expected += amount;
        }
        exchangeSnapshots(ledgers);
        for (const ledger of ledgers) {
          assert.ok(Math.abs(ledger.totalService("a") - expected) < TOLERANCE);
        }
      },
    ),
    { seed: SEED },
  );
});

test("a team that returns from idle has no credit for the idle time", () => {
  const ledger = new Ledger("origin");
  ledger.setWaiting("busy", true);
  ledger.charge("busy", 1_000);
  assert.equal(ledger.leastServed(["busy"]), "busy");
  ledger.setWaiting("idle", true);
  assert.equal(ledger.totalService("idle"), 1_000);
});

test("the least served of the waiting teams goes first", () => {
  const ledger = new Ledger("origin");
  for (const [name, amount] of [
    ["a", 30],
    ["b", 10],
    ["c", 20],
  ] as const) {
    ledger.setWaiting(name, true);
    ledger.charge(name, amount);
  }
  assert.equal(ledger.leastServed(["a", "b", "c"]), "b");
  assert.equal(ledger.leastServed(["a", "c"]), "c");
  assert.equal(ledger.leastServed([]), null);
});

test("debt from charges during a network partition is capped", () => {
  const here = new Ledger("here");
  const there = new Ledger("there");
  here.setWaiting("a", true);
  here.charge("a", 10);
  here.setWaiting("b", true);
  here.charge("b", 10);
  there.setWaiting("a", true);
  for (let count = 0; count < 10_000; count += 1) there.charge("a", 10);
  mergeUpdates(here, there.snapshot());
  const debt = here.effectiveService("a") - here.effectiveService("b");
  assert.ok(debt > 0, "The debt was not merged");
  assert.ok(debt <= 50 * 10 + 10, `The debt is ${debt}`);
});

test("idle teams at or below the floor are dropped from the ledger", () => {
  const ledger = new Ledger("origin");
  for (let index = 0; index < 1_000; index += 1) {
    ledger.setWaiting(`team-${index}`, true);
    ledger.charge(`team-${index}`, 1);
    ledger.setWaiting(`team-${index}`, false);
  }
  ledger.setWaiting("busy", true);
  ledger.charge("busy", 50);
  ledger.leastServed(["busy"]);
  collectUnused(ledger);
  assert.equal(ledger.size, 1);
});

test("a team dropped at one process keeps its service at the others", () => {
  const ledgers = createLedgers();
  const [first, second, third] = ledgers as [Ledger, Ledger, Ledger];
  for (const ledger of ledgers) {
    ledger.charge("a", 300);
    ledger.charge("b", 300);
    ledger.setWaiting("b", true);
  }
  exchangeSnapshots(ledgers);
  for (const ledger of ledgers) ledger.leastServed(["b"]);
  collectUnused(second);
  assert.equal(second.size, 1);
  // Another process charges the team; the one that dropped it gets the update.
  first.charge("a", 10);
  second.merge(first.entry("a") as LedgerEntry);
  second.setWaiting("a", true);
  for (let round = 0; round < 3; round += 1) exchangeSnapshots(ledgers);
  for (const ledger of ledgers) {
    assert.ok(Math.abs(ledger.totalService("a") - 910) < TOLERANCE);
  }
  assert.equal(third.totalService("b"), 900);
});
