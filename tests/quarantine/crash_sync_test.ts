/**
 * Guards against processes that never agree on crashes after reports were lost,
 * and against comparisons that repeat what both know.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { CrashReport, CrashSyncMessage } from "../../src/protocol/mod.ts";
import {
  CrashBreaker,
  CrashEvidence,
  CrashSync,
  partSuspect,
} from "../../src/quarantine/mod.ts";
import { createManualClock } from "../support/manual_clock.ts";

/** Records that are sent in one turn: some 10 ms of encoding. */
const RECORDS_LIMIT = 16;
/** Time after which a record is asked for again. */
const ASK_AGAIN_MS = 500;

function createProcess(clock = createManualClock()) {
  const evidence = new CrashEvidence(clock);
  const sync = new CrashSync(clock, evidence, (record) => evidence.add(record));
  const breaker = new CrashBreaker(clock, evidence);
  return { clock, evidence, sync, breaker };
}

type Process = ReturnType<typeof createProcess>;

/** Lets one process compare with another; returns the messages sent. */
function compare(from: Process, to: Process): CrashSyncMessage[] {
  const sent: CrashSyncMessage[] = [];
  let queue = [{ message: from.sync.summary, receiver: to, sender: from }];
  while (queue.length > 0) {
    queue = queue.flatMap(({ message, receiver, sender }) => {
      sent.push(message);
      const replies = receiver.sync.handle(message);
      return replies.map((reply) => ({
        ...{ message: reply, receiver: sender, sender: receiver },
      }));
    });
  }
  return sent;
}

const crash = (id: string, ...parts: string[]): CrashReport => ({
  ...{ type: "crash-report", crash: id, ageMs: 0, cleared: [] },
  requests: [[`f-${id}-${parts.join()}`, parts]],
});

test("a comparison brings what either of two processes lacks", () => {
  const one = createProcess();
  const other = createProcess(one.clock);
  for (const id of ["c1", "c2", "c3"]) one.evidence.add(crash(id, "bad"));
  other.evidence.add(crash("c4", "bad"));
  compare(one, other);
  const causes = (process: Process) =>
    process.breaker.causes.map(({ suspects, crashes }) => ({
      suspects,
      crashes: crashes.map(({ id }) => id).sort(),
    }));
  assert.deepEqual(causes(one), causes(other));
  assert.equal(one.breaker.causes[0]?.crashes.length, 4);
});

test("processes that know the same send only a summary", () => {
  const one = createProcess();
  const other = createProcess(one.clock);
  for (const id of ["c1", "c2"]) one.evidence.add(crash(id, "a", "b"));
  one.evidence.addSound([partSuspect("a")]);
  compare(one, other);
  assert.deepEqual(
    compare(one, other).map(({ type }) => type),
    ["crash-summary"],
  );
});

test("a suspect that was cleared isn't one again after a comparison", () => {
  const one = createProcess();
  const other = createProcess(one.clock);
  for (const { evidence } of [one, other]) evidence.add(crash("c", "a"));
  one.evidence.addSound([partSuspect("a")]);
  // The sound response itself is no longer known anywhere.
  for (let count = 0; count < 20_000; count += 1)
    one.evidence.addSound([partSuspect(`x${count}`)]);
  compare(one, other);
  for (const { evidence } of [one, other])
    assert.equal(evidence.suspects.has(partSuspect("a")), false);
});

test("only the process that knows less is sent a record", () => {
  const one = createProcess();
  const other = createProcess(one.clock);
  for (const { evidence } of [one, other]) evidence.add(crash("c", "a"));
  one.evidence.add(crash("c", "b"));
  const records = compare(one, other).filter(
    ({ type }) => type === "crash-record",
  );
  assert.equal(records.length, 1);
});

test("a record that many peers offer is asked for once, and again if none came", () => {
  const one = createProcess();
  const other = createProcess(one.clock);
  one.evidence.add(crash("c", "a"));
  const [offer] = one.sync.handle({ type: "crash-digests", digests: [] });
  assert.ok(offer !== undefined);
  assert.equal(other.sync.handle(offer).length, 1);
  assert.equal(other.sync.handle(offer).length, 0);
  one.clock.advance(ASK_AGAIN_MS);
  assert.equal(other.sync.handle(offer).length, 1);
});

test("many records are asked for in several messages", () => {
  const one = createProcess();
  const other = createProcess(one.clock);
  for (let count = 0; count < 100; count += 1)
    one.evidence.add(crash(`c${count}`, "a"));
  const longest = compare(one, other).reduce(
    (most, message) =>
      message.type === "crash-query"
        ? Math.max(most, message.crashes.length)
        : most,
    0,
  );
  assert.ok(longest <= RECORDS_LIMIT, `${longest} records at once`);
  assert.equal(other.evidence.summary, one.evidence.summary);
});

interface Fact {
  readonly process: number;
  readonly crash: string;
  readonly part: string;
  readonly type: "crashed" | "sound";
}

const facts = fc.array(
  fc.record<Fact>({
    process: fc.nat(2),
    crash: fc.constantFrom("c1", "c2", "c3", "c4"),
    part: fc.constantFrom("a", "b", "c"),
    type: fc.constantFrom("crashed", "crashed", "sound"),
  }),
  { maxLength: 40 },
);

test("processes agree after a few comparisons, whatever each was told", () => {
  fc.assert(
    fc.property(facts, (all) => {
      const clock = createManualClock();
      const processes = [0, 1, 2].map(() => createProcess(clock));
      for (const { process, part, type, ...fact } of all) {
        const evidence = processes[process]?.evidence;
        if (type === "sound") evidence?.addSound([partSuspect(part)]);
        else evidence?.add(crash(fact.crash, part));
      }
      for (let round = 0; round < 6; round += 1) {
        clock.advance(ASK_AGAIN_MS);
        for (const [index, process] of processes.entries()) {
          const next = processes[(index + 1) % processes.length];
          if (next !== undefined) compare(process, next);
        }
      }
      const summaries = processes.map(({ evidence }) => evidence.summary);
      assert.equal(new Set(summaries).size, 1);
      const suspects = processes.map(({ evidence }) =>
        [...evidence.suspects].sort(),
      );
      assert.deepEqual(suspects[1], suspects[0]);
      assert.deepEqual(suspects[2], suspects[0]);
    }),
  );
});
