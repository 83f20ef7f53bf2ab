/** Retry budget, freshness of keys, events and crashes. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { EventLog } from "../../src/common/event_log.ts";
import { Beliefs } from "../../src/direct/beliefs.ts";
import { CrashWatch } from "../../src/direct/crash_watch.ts";
import { EventSplitter } from "../../src/direct/event_splitter.ts";
import { RetryAllowance } from "../../src/direct/retry_allowance.ts";
import { createClock } from "../support/manual_clock.ts";
import { createConfiguration } from "../support/routes.ts";
import { createServer } from "../support/servers.ts";

const SILENT = new EventLog("test", (_text, done) => done(null));

test("retries stay within the bound of all routers together", () => {
  const bounds = { ratio: 0.2, windowMs: 10_000, slack: 40 };
  const allowance = new RetryAllowance(createClock(), bounds);
  allowance.setRouters(4);
  let retries = 0;
  for (let request = 0; request < 1_000; request += 1) {
    allowance.noteRequest("desk");
    if (!allowance.mayRetry("desk")) continue;
    allowance.noteRetry("desk");
    retries += 1;
  }
  assert.ok(retries > 100 && retries <= 0.2 * 1_000 + 40 / 4, `${retries}`);
});

test("retries of one service leave another's alone", () => {
  const bounds = { ratio: 0, windowMs: 10_000, slack: 4 };
  const clock = createClock();
  const allowance = new RetryAllowance(clock, bounds);
  while (allowance.mayRetry("desk")) allowance.noteRetry("desk");
  assert.equal(allowance.mayRetry("chat"), true);
  clock.pass(10_001);
  assert.equal(allowance.mayRetry("desk"), true);
});

function createBeliefs() {
  const clock = createClock();
  const options = { keysTrustedMs: 4_000 };
  return { clock, beliefs: new Beliefs(clock, SILENT, options) };
}

test("an older configuration never takes the place of a newer one", () => {
  const { beliefs } = createBeliefs();
  beliefs.adopt(createConfiguration({ version: 7 }));
  assert.equal(beliefs.adopt(createConfiguration({ version: 6 })), null);
  assert.equal(beliefs.table?.version, 7);
});

test("keys are trusted for a time after the last word", () => {
  const { clock, beliefs } = createBeliefs();
  assert.equal(beliefs.keysAreFresh, false);
  beliefs.confirm({ monotonicMs: 1_000, wallMs: 1_000 });
  clock.pass(4_000);
  assert.equal(beliefs.keysAreFresh, true);
  clock.pass(1);
  assert.equal(beliefs.keysAreFresh, false);
});

test("a suspension ages what is known, a clock set back doesn't renew it", () => {
  const { clock, beliefs } = createBeliefs();
  beliefs.confirm({ monotonicMs: 1_000, wallMs: 1_000 });
  clock.step(5_000);
  assert.equal(beliefs.keysAreFresh, false);
  clock.step(-20_000);
  clock.pass(5_000);
  assert.equal(beliefs.keysAreFresh, false);
});

test("only whole events leave the splitter", () => {
  const splitter = new EventSplitter();
  const push = (text: string) => splitter.push(Buffer.from(text)).toString();
  assert.equal(push("id: 1\ndata: a\n"), "");
  assert.equal(push("\nid: 2\ndata"), "id: 1\ndata: a\n\n");
  assert.equal(splitter.lastId, "1");
  assert.equal(splitter.midEvent, true);
  splitter.drop();
  assert.equal(push("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
  assert.equal(splitter.lastId, "2");
});

test("a broken answer counts as a crash once its server is gone", () => {
  const clock = createClock();
  const watch = new CrashWatch(clock);
  const server = createServer();
  assert.equal(watch.noteUnreachable(server), null);
  watch.noteBroken(server, "f1");
  const strike = watch.noteUnreachable(server);
  assert.deepEqual(strike?.fingerprints, ["f1"]);
  assert.equal(watch.noteUnreachable(server), null);
});

test("an answer that broke long before strikes nobody", () => {
  const clock = createClock();
  const watch = new CrashWatch(clock);
  watch.noteBroken(createServer(), "f1");
  clock.pass(1_001);
  assert.equal(watch.noteUnreachable(createServer()), null);
});

test("a reader that is stopped costs lines and never holds up", () => {
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
