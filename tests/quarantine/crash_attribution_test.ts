/**
 * Guards against causes of crashes that aren't found, and against refusing what
 * only ran beside them.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { type CrashReport, parseMessage } from "../../src/protocol/mod.ts";
import {
  CrashBreaker,
  CrashEvidence,
  messagesOf,
  partSuspect,
  requestSuspect,
} from "../../src/quarantine/mod.ts";
import { createManualClock } from "../support/manual_clock.ts";

/** First refusal and the longest of its lengthened ones, before jitter. */
const REFUSAL_MS = 60_000;
const MAX_REFUSAL_MS = 600_000;

let lastRequest = 0;

/** A request that is like no other but for its parts. */
function run(...parts: string[]): readonly [string, string[]] {
  lastRequest += 1;
  return [`f${lastRequest}`, parts];
}

function createReport(
  crash: string,
  requests: CrashReport["requests"],
): CrashReport {
  return { type: "crash-report", crash, ageMs: 0, requests, cleared: [] };
}

function createBreaker({ random = 0 }: { readonly random?: number } = {}) {
  const clock = createManualClock();
  const evidence = new CrashEvidence(clock);
  const breaker = new CrashBreaker(clock, evidence, { random: () => random });
  let crashes = 0;
  const crash = (...requests: CrashReport["requests"]) => {
    crashes += 1;
    evidence.add(createReport(`c${crashes}`, requests));
  };
  const isRefused = (parts: readonly string[], holder: object = {}) =>
    breaker.refusal(parts.map(partSuspect), holder) !== null;
  return { clock, evidence, breaker, crash, isRefused };
}

test("requests that share one part are refused from the third crash on", () => {
  const { crash, isRefused } = createBreaker();
  crash(run("a1", "bad"));
  crash(run("a2", "bad"));
  assert.equal(isRefused(["bad"]), false);
  crash(run("a3", "bad"));
  assert.equal(isRefused(["a4", "bad"]), true);
  assert.equal(isRefused(["a1"]), false);
});

test("what ran beside the cause in some crashes isn't refused", () => {
  const { crash, isRefused } = createBreaker();
  for (let count = 0; count < 3; count += 1) crash(run("bad"), run("beside"));
  crash(run("bad"));
  assert.equal(isRefused(["bad"]), true);
  assert.equal(isRefused(["beside"]), false);
});

test("parts that can't be told apart are refused together only", () => {
  const { crash, isRefused } = createBreaker();
  for (let count = 0; count < 3; count += 1) crash(run("first", "bad"));
  assert.equal(isRefused(["first", "bad"]), true);
  assert.equal(isRefused(["first"]), false);
  crash(run("bad"));
  assert.equal(isRefused(["bad"]), true);
  assert.equal(isRefused(["first"]), false);
});

test("a repeated request is refused as a whole, not its parts", () => {
  const { crash, breaker, isRefused } = createBreaker();
  for (let count = 0; count < 3; count += 1) crash(["same", ["a", "b"]]);
  const suspects = [requestSuspect("same"), partSuspect("a"), partSuspect("b")];
  assert.notEqual(breaker.refusal(suspects, {}), null);
  assert.equal(isRefused(["a", "b"]), false);
});

test("requests that crash beside each other in all crashes are both refused", () => {
  const { crash, isRefused } = createBreaker();
  for (let count = 0; count < 3; count += 1) crash(run("one"), run("other"));
  assert.equal(isRefused(["one"]), true);
  assert.equal(isRefused(["other"]), true);
});

test("a sound response clears a part, and crashes soon after don't count", () => {
  const { clock, evidence, crash, isRefused } = createBreaker();
  for (let count = 0; count < 3; count += 1) crash(run("first", "bad"));
  assert.deepEqual(evidence.addSound([partSuspect("first")]), ["part first"]);
  assert.deepEqual(evidence.addSound([partSuspect("first")]), []);
  assert.equal(isRefused(["bad"]), true);
  clock.advance(4_999);
  for (let count = 0; count < 3; count += 1) crash(run("first"));
  assert.equal(isRefused(["first"]), false);
  clock.advance(1_000);
  for (let count = 0; count < 3; count += 1) crash(run("first"));
  assert.equal(isRefused(["first"]), true);
});

test("one request tries after the refusal; a crash lengthens the next one", () => {
  const { clock, breaker, crash, isRefused } = createBreaker();
  for (let count = 0; count < 3; count += 1) crash(run("bad"));
  clock.advance(REFUSAL_MS - 1);
  assert.equal(isRefused(["bad"]), true);
  clock.advance(1);
  const trial = {};
  assert.equal(isRefused(["bad"], trial), false);
  assert.equal(isRefused(["bad"], trial), false);
  assert.equal(isRefused(["bad"]), true);
  clock.advance(1);
  crash(run("bad"));
  breaker.endTrial(trial);
  clock.advance(2 * REFUSAL_MS - 1);
  assert.equal(isRefused(["bad"]), true);
  clock.advance(1);
  assert.equal(isRefused(["bad"]), false);
});

test("a trial that ends without a crash is followed by another", () => {
  const { clock, breaker, crash, isRefused } = createBreaker();
  for (let count = 0; count < 3; count += 1) crash(run("bad"));
  clock.advance(REFUSAL_MS);
  const trial = {};
  assert.equal(isRefused(["bad"], trial), false);
  breaker.endTrial(trial);
  assert.equal(isRefused(["bad"]), true, "its crash may still be found");
  clock.advance(1_000);
  assert.equal(isRefused(["bad"]), false);
});

test("a wrong refusal ends: a sound response to a trial clears it", () => {
  const { clock, evidence, crash, isRefused } = createBreaker({ random: 1 });
  for (let count = 0; count < 3; count += 1) crash(run("sound"));
  clock.advance(2 * REFUSAL_MS - 1);
  assert.equal(isRefused(["sound"]), true);
  clock.advance(1);
  assert.equal(isRefused(["sound"]), false);
  evidence.addSound([partSuspect("sound")]);
  assert.equal(isRefused(["sound"]), false);
  assert.equal(isRefused(["sound"]), false);
});

test("crashes expire, and what is stored stays bounded", () => {
  const { clock, evidence, crash } = createBreaker();
  for (let count = 0; count < 300; count += 1) crash(run("a", "b", "c"));
  assert.equal(evidence.digests.length, 256);
  for (let count = 0; count < 300; count += 1)
    crash(...Array.from({ length: 100 }, () => run("a", "b", "c")));
  assert.ok(evidence.digests.length > 100 && evidence.digests.length <= 256);
  let entries = 0;
  for (const [id] of evidence.digests) {
    const report = evidence.reportOf(id) ?? assert.fail("Not stored");
    assert.ok(report.requests.length > 0);
    entries += report.requests.flat(2).length + report.cleared.length;
    for (const message of messagesOf(report))
      assert.ok(parseMessage(message).isOk());
  }
  assert.ok(entries <= 256 * 256, `${entries} entries`);
  clock.advance(3 * MAX_REFUSAL_MS + 1);
  evidence.sweep();
  assert.equal(evidence.suspects.size, 0);
});

interface Event {
  readonly crash: number;
  readonly sound: boolean;
  readonly part: string;
}

const partNames = fc.constantFrom<string>("a", "b", "c", "d");
const eventLists = fc.array(
  fc.record<Event>({
    crash: fc.nat(8),
    sound: fc.boolean(),
    part: partNames,
  }),
  { maxLength: 40 },
);

function play(lists: readonly (readonly Event[])[]) {
  const { evidence, breaker } = createBreaker();
  for (const { crash, sound, part } of lists.flat()) {
    if (sound) evidence.addSound([partSuspect(part)]);
    else
      evidence.add(createReport(`c${crash}`, [[`f${crash}${part}`, [part]]]));
  }
  const suspects = [...evidence.suspects].sort();
  const causes = breaker.causes.map((cause) => cause.suspects).sort();
  return { suspects, causes };
}

test("reports may come in any order and more than once", () => {
  fc.assert(
    fc.property(eventLists, fc.integer(), (events, seed) => {
      const shuffled = [...events].sort(
        (a, b) => hash(a, seed) - hash(b, seed),
      );
      assert.deepEqual(
        play([shuffled, events]).suspects,
        play([events]).suspects,
      );
    }),
  );
});

function hash({ crash, sound, part }: Event, seed: number): number {
  const text = `${crash} ${sound} ${part} ${seed}`;
  let value = 7;
  for (const char of text) value = (value * 31 + char.charCodeAt(0)) | 0;
  return value;
}

test("what isn't in all crashes of a cause is never refused for it", () => {
  const besides = fc.array(fc.array(partNames, { maxLength: 3 }), {
    minLength: 3,
    maxLength: 12,
  });
  fc.assert(
    fc.property(besides, (beside) => {
      const { crash, isRefused } = createBreaker();
      for (const parts of beside)
        crash(run("bad"), ...parts.map((part) => run(part)));
      assert.equal(isRefused(["bad"]), true);
      for (const part of ["a", "b", "c", "d"]) {
        const isBesideAlways = beside.every((parts) => parts.includes(part));
        assert.equal(isRefused([part]), isBesideAlways);
      }
    }),
  );
});
