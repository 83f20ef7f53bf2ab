/** Retry budget, configuration state, event splitter, crashes and event log. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { EventLog } from "../../src/common/event_log.ts";
import { HeldBuffer } from "../../src/common/held_buffer.ts";
import { HeldBytes } from "../../src/common/held_bytes.ts";
import { ConfigurationState } from "../../src/direct/configuration_state.ts";
import {
  type BrokenRequest,
  CrashDetector,
} from "../../src/direct/crash_detector.ts";
import {
  EVENT_LIMIT_BYTES,
  EventSplitter,
} from "../../src/direct/event_splitter.ts";
import { RetryBudget } from "../../src/direct/retry_budget.ts";
import { createManualClock } from "../support/manual_clock.ts";
import { createConfiguration } from "../support/routes.ts";
import { createServer } from "../support/servers.ts";

const DISCARDING_LOG = new EventLog("test", (_text, done) => done(null));

test("retries stay within the ratio and a router's part of the slack", () => {
  const limits = { ratio: 0.2, windowMs: 10_000, slack: 40 };
  const budget = new RetryBudget(createManualClock(), limits);
  budget.setRouterCount(4);
  let retries = 0;
  for (let request = 0; request < 1_000; request += 1) {
    budget.recordRequest("desk");
    const retry = budget.reserveRetry("desk");
    if (retry === null) continue;
    retry.spend();
    retries += 1;
  }
  assert.ok(retries > 100 && retries <= 0.2 * 1_000 + 40 / 4, `${retries}`);
});

test("each service has a budget that recovers after the window", () => {
  const limits = { ratio: 0, windowMs: 10_000, slack: 4 };
  const clock = createManualClock();
  const budget = new RetryBudget(clock, limits);
  while (budget.reserveRetry("desk") !== null) {}
  assert.notEqual(budget.reserveRetry("chat"), null);
  clock.advance(10_001);
  assert.notEqual(budget.reserveRetry("desk"), null);
});

test("a reserved retry counts until it is given back, a sent one for good", () => {
  const limits = { ratio: 0, windowMs: 10_000, slack: 2 };
  const budget = new RetryBudget(createManualClock(), limits);
  const retry = budget.reserveRetry("desk");
  assert.equal(budget.reserveRetry("desk"), null);
  retry?.release();
  const sent = budget.reserveRetry("desk");
  sent?.spend();
  sent?.release();
  retry?.release();
  assert.equal(budget.reserveRetry("desk"), null);
});

function createState() {
  const clock = createManualClock();
  const options = { keysMaxAgeMs: 4_000, refusalMaxAgeMs: 2_000 };
  return {
    clock,
    configuration: new ConfigurationState(clock, DISCARDING_LOG, options),
  };
}

test("an older configuration never replaces a newer one", () => {
  const { configuration } = createState();
  configuration.adopt(createConfiguration({ version: 7 }));
  assert.equal(configuration.adopt(createConfiguration({ version: 6 })), null);
  assert.equal(configuration.table?.version, 7);
});

test("keys are trusted for a limited time after the last confirmation", () => {
  const { clock, configuration } = createState();
  assert.equal(configuration.keysAreFresh, false);
  configuration.confirm({ monotonicMs: 1_000, wallMs: 1_000 });
  clock.advance(4_000);
  assert.equal(configuration.keysAreFresh, true);
  clock.advance(1);
  assert.equal(configuration.keysAreFresh, false);
});

test("keys age in a suspension; setting a clock back renews none", () => {
  const { clock, configuration } = createState();
  configuration.confirm({ monotonicMs: 1_000, wallMs: 1_000 });
  clock.stepWallClock(5_000);
  assert.equal(configuration.keysAreFresh, false);
  clock.stepWallClock(-20_000);
  clock.advance(5_000);
  assert.equal(configuration.keysAreFresh, false);
});

function createSplitter(memoryBytes = 2 * EVENT_LIMIT_BYTES): EventSplitter {
  const clock = createManualClock();
  const held = new HeldBytes(clock, { limitBytes: memoryBytes });
  const limitBytes = EVENT_LIMIT_BYTES;
  const options = { kind: "response", group: "s1", limitBytes } as const;
  return new EventSplitter(new HeldBuffer(held, options));
}

test("the splitter returns only complete events", () => {
  const splitter = createSplitter();
  const push = (text: string) => {
    const { bytes, lastId } = splitter.push(Buffer.from(text));
    return { text: bytes.toString(), lastId };
  };
  const nothing = { text: "", lastId: null };
  assert.deepEqual(push("id: 1\ndata: a\n"), nothing);
  assert.deepEqual(push("\nid: 2\ndata"), {
    ...{ text: "id: 1\ndata: a\n\n", lastId: "1" },
  });
  assert.equal(splitter.hasPartialEvent, true);
  assert.deepEqual(push(": b\n\nid: 3\n\n"), {
    ...{ text: "id: 2\ndata: b\n\nid: 3\n\n", lastId: "3" },
  });
  assert.equal(splitter.hasPartialEvent, false);
  assert.deepEqual(push("data: c\n\n"), {
    ...{ text: "data: c\n\n", lastId: null },
  });
});

test("the splitter finds blank lines that are split over chunks", () => {
  const splitter = createSplitter();
  const push = (text: string) =>
    splitter.push(Buffer.from(text)).bytes.toString();
  assert.equal(push("data: a\r\n\r"), "");
  assert.equal(push("\n"), "data: a\r\n\r\n");
  assert.equal(push("\n"), "\n");
  assert.equal(splitter.hasPartialEvent, false);
  assert.equal(push("data: b\n\r"), "");
  assert.equal(push("\r\n"), "");
  assert.equal(splitter.hasPartialEvent, true);
});

test("the splitter takes linear time for a long event", () => {
  const splitter = createSplitter();
  const chunk = Buffer.alloc(10, "x");
  const startMs = performance.now();
  for (let i = 0; i < 100_000; i += 1) splitter.push(chunk);
  assert.equal(splitter.failure, null);
  // 50 GB would be copied if every chunk were joined to those before it.
  assert.ok(performance.now() - startMs < 1_000);
});

test("the splitter keeps no event beyond its limit or the memory", () => {
  const event = Buffer.alloc(EVENT_LIMIT_BYTES, "x");
  const long = createSplitter();
  long.push(event);
  assert.equal(long.failure, null);
  long.push(Buffer.from("x"));
  assert.equal(long.failure, "event-too-long");
  const short = createSplitter(EVENT_LIMIT_BYTES / 2);
  assert.equal(short.push(Buffer.from("id: 1\n\n")).lastId, "1");
  short.push(event);
  assert.equal(short.failure, "no-memory");
});

function brokenRequest(fingerprint: string): BrokenRequest {
  return { fingerprint, parts: [`part of ${fingerprint}`] };
}

test("a broken response is a crash once its server is unreachable", () => {
  const clock = createManualClock();
  const detector = new CrashDetector(clock);
  const server = createServer();
  assert.equal(detector.recordUnreachable(server), null);
  detector.recordBroken(server, brokenRequest("f1"));
  const crash = detector.recordUnreachable(server);
  assert.deepEqual(crash?.requests, [brokenRequest("f1")]);
  assert.equal(detector.recordUnreachable(server), null);
});

test("a response that broke more than a second before is no crash", () => {
  const clock = createManualClock();
  const detector = new CrashDetector(clock);
  detector.recordBroken(createServer(), brokenRequest("f1"));
  clock.advance(1_001);
  assert.equal(detector.recordUnreachable(createServer()), null);
});

test("a broken response is a crash if the server's entry lapses soon", () => {
  const clock = createManualClock();
  const detector = new CrashDetector(clock);
  const server = createServer();
  detector.recordBroken(server, brokenRequest("f1"));
  clock.advance(4_500);
  const first = brokenRequest("f1");
  assert.deepEqual(detector.recordLeft(server)?.requests, [first]);
  const second = brokenRequest("f2");
  assert.deepEqual(detector.recordBroken(server, second)?.requests, [second]);
});

test("a broken response is no crash if the server drains or comes back", () => {
  const clock = createManualClock();
  const detector = new CrashDetector(clock);
  const draining = createServer({ state: "draining" });
  detector.recordBroken(draining, brokenRequest("f1"));
  assert.equal(detector.recordLeft(draining), null);
  assert.equal(detector.recordBroken(draining, brokenRequest("f2")), null);
  const lapsed = createServer({ id: "s2" });
  assert.equal(detector.recordLeft(lapsed), null);
  detector.recordJoined(lapsed);
  assert.equal(detector.recordBroken(lapsed, brokenRequest("f3")), null);
});

test("the event log drops lines when its reader has stopped", () => {
  const written: string[] = [];
  const log = new EventLog("test", (text) => written.push(text));
  for (let line = 0; line < 1_000; line += 1) log.info("flood", { line });
  log.info("other");
  void log.flush();
  const lines = written.join("").trim().split("\n");
  assert.ok(lines.length < 100, `${lines.length} lines of one second`);
  assert.ok(lines.some((line) => line.includes("lines-dropped")));
  assert.ok(lines.some((line) => line.includes('"event":"other"')));
});
