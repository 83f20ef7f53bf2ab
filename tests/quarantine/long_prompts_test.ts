/**
 * Parts that crash servers, anywhere in prompts as long as their heads allow.
 * Guards against parts that are never suspected as they stand too far behind.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { CrashRelay } from "../../src/admission/crash_relay.ts";
import {
  type CrashReport,
  type Message,
  parseMessage,
  type SoundReport,
} from "../../src/protocol/mod.ts";
import {
  CrashBreaker,
  CrashEvidence,
  CrashSync,
  messagesOf,
  partSuspect,
} from "../../src/quarantine/mod.ts";
import { createManualClock } from "../support/manual_clock.ts";

/** Parts that fit in a head of 16 KiB. */
const PARTS = 1_100;
/** Half of the heap of an admission controller. */
const HEAP_BOUND_BYTES = 48 * 2 ** 20;

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

let lastPart = 0;

/** Returns parts that no other prompt has, with some in given places. */
function promptWith(
  places: Readonly<Record<number, string>>,
  length = PARTS,
): string[] {
  return Array.from({ length }, (_, at) => {
    lastPart += 1;
    return places[at] ?? `own${lastPart}`;
  });
}

function createProcess(clock = createManualClock()) {
  const evidence = new CrashEvidence(clock);
  const breaker = new CrashBreaker(clock, evidence, { random: () => 0 });
  const sync = new CrashSync(clock, evidence, (record) => evidence.add(record));
  let crashes = 0;
  const crash = (...prompts: (readonly string[])[]): CrashReport => {
    crashes += 1;
    const report: CrashReport = {
      ...{ type: "crash-report", crash: `c${crashes}`, ageMs: 0, cleared: [] },
      requests: prompts.map((parts, at) => [`f${crashes}-${at}`, parts]),
    };
    evidence.add(report);
    return report;
  };
  const isRefused = (parts: readonly string[]) =>
    breaker.refusal(parts.map(partSuspect), {}) !== null;
  return { clock, evidence, breaker, sync, crash, isRefused };
}

test("a part at moving places of prompts that share nothing else is found", () => {
  const { crash, isRefused } = createProcess();
  for (const place of [PARTS - 1, 0, 700])
    crash(promptWith({ [place]: "bad" }), promptWith({}));
  for (const place of [0, 127, 128, 512, PARTS - 1])
    assert.equal(isRefused(promptWith({ [place]: "bad" })), true);
  assert.equal(isRefused(promptWith({})), false);
});

test("two parts that crash servers in turn are both found", () => {
  const { crash, isRefused } = createProcess();
  for (let count = 0; count < 3; count += 1) {
    crash(promptWith({ [900 - count]: "bad" }));
    crash(promptWith({ [200 + count]: "worse" }));
  }
  assert.equal(isRefused(promptWith({ 1000: "bad" })), true);
  assert.equal(isRefused(promptWith({ 3: "worse" })), true);
  assert.equal(isRefused(promptWith({})), false);
});

test("what sound prompts share with deadly ones isn't refused", () => {
  const { evidence, crash, isRefused } = createProcess();
  const shared = promptWith({});
  const deadly = [...shared.slice(0, 1_000), "bad", ...shared.slice(1_000)];
  for (let count = 0; count < 5; count += 1) {
    crash(deadly);
    evidence.addSound(shared.map(partSuspect));
  }
  assert.equal(isRefused(deadly), true);
  assert.equal(isRefused(shared), false);
  assert.equal(isRefused(["bad"]), true);
});

function assertValid(messages: readonly Message[]): void {
  for (const message of messages)
    assert.ok(parseMessage(message).isOk(), message.type);
}

test("long prompts are shared in messages that are taken", async () => {
  const one = createProcess();
  const other = createProcess(one.clock);
  const relayed: (CrashReport | SoundReport)[] = [];
  const relay = new CrashRelay(one.clock, {
    send: (report) => relayed.push(report),
  });
  const shared = promptWith({});
  const reports = [1_050, 3, 600].flatMap((place) =>
    messagesOf(one.crash(shared, promptWith({ [place]: "bad" }))),
  );
  assertValid(reports);
  for (const report of reports) relay.receive(report);
  const sound = messagesOf({
    ...{ type: "sound-report", suspects: shared.map(partSuspect), ageMs: 0 },
  });
  for (const message of sound) relay.receive(message);
  await new Promise((resolve) => setTimeout(resolve, 200));
  assertValid(relayed);
  for (const report of relayed) other.evidence.add(report);
  assert.equal(other.isRefused(promptWith({ 77: "bad" })), true);
  assert.equal(other.isRefused(shared), false);
  relay.close();
});

test("a process that starts anew is told of long prompts", () => {
  const one = createProcess();
  const other = createProcess(one.clock);
  for (const place of [1_050, 3, 600])
    one.crash(promptWith({ [place]: "bad" }));
  let messages = [one.sync.summary];
  let receiver = other;
  while (messages.length > 0) {
    assertValid(messages);
    const process = receiver;
    messages = messages.flatMap((message) => process.sync.handle(message));
    receiver = receiver === one ? other : one;
  }
  assert.equal(other.evidence.summary, one.evidence.summary);
  assert.equal(other.isRefused(promptWith({ 77: "bad" })), true);
});

test("a process that starts anew is told of many long prompts bit by bit", () => {
  const one = createProcess();
  const other = createProcess(one.clock);
  for (let count = 0; count < 20; count += 1)
    one.crash(promptWith({ [count]: "bad" }));
  for (let round = 0; round < 10; round += 1) {
    one.clock.advance(500);
    let messages = [one.sync.summary];
    let receiver = other;
    while (messages.length > 0) {
      const process = receiver;
      messages = messages.flatMap((message) => {
        const replies = process.sync.handle(message);
        const entries = JSON.stringify(replies).split(",").length;
        assert.ok(entries < 3 * 4_096, `${entries} entries in one turn`);
        return replies;
      });
      receiver = receiver === one ? other : one;
    }
  }
  assert.equal(other.evidence.summary, one.evidence.summary);
});

test("memory stays bounded, whatever prompts are reported", () => {
  const { evidence, crash, isRefused } = createProcess();
  const heapBytes = () => {
    collectGarbage();
    return process.memoryUsage().heapUsed;
  };
  const before = heapBytes();
  for (let count = 0; count < 100; count += 1) {
    const prompts = Array.from({ length: 16 }, () => promptWith({}));
    crash(promptWith({ [count]: "bad" }), ...prompts);
    if (count % 2 === 0)
      evidence.addSound(promptWith({}).map((part) => partSuspect(part)));
  }
  const taken = heapBytes() - before;
  assert.ok(taken < HEAP_BOUND_BYTES, `${taken} bytes`);
  assert.ok(evidence.suspectCount <= 256 * 256, `${evidence.suspectCount}`);
  assert.equal(isRefused(promptWith({ 500: "bad" })), true);
});
