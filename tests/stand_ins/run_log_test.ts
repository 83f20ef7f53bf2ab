/** Reading a log of runs to which a stand-in appends. */

import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, test } from "node:test";
import { readRunLog } from "../../stand_ins/run_log.ts";

const LINE = JSON.stringify({
  ...{ requestId: "r1", idempotencyKey: "", bodyHash: "h" },
  ...{ startedAt: 1, finishedAt: null },
});
const HEAD = LINE.slice(0, 30);
const REST = `${LINE.slice(30)}\n`;
/** Tells that it has started, then appends its second argument to a file. */
const APPENDER = `
const [file, text] = process.argv.slice(1);
process.stdout.write("started");
setTimeout(() => require("node:fs").appendFileSync(file, text), 100);`;

let folder = "";
let file = "";

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), "run-log-"));
  file = join(folder, "runs");
});

afterEach(() => rmSync(folder, { recursive: true }));

test("a line that is being written is read once it is whole", async () => {
  writeFileSync(file, `${LINE}\n${HEAD}`);
  const appender = spawn(process.execPath, ["-e", APPENDER, file, REST]);
  const ended = once(appender, "exit");
  await once(appender.stdout, "data");
  const runs = readRunLog(file);
  await ended;
  assert.deepEqual(
    runs.map(({ requestId }) => requestId),
    ["r1", "r1"],
  );
});

test("a line that is never completed is an error, not left out", () => {
  writeFileSync(file, `${LINE}\n${HEAD}`);
  assert.throws(() => readRunLog(file), SyntaxError);
  appendFileSync(file, `\n${LINE}\n`);
  assert.throws(() => readRunLog(file), SyntaxError);
});
