/** Processes whose port another process has taken. */

import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { createServer, type Server } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, test } from "node:test";
import { ExitCode } from "../../src/cli/exit_code.ts";
import { listen } from "../../src/common/listen.ts";
import { withTimeout } from "../../src/common/promises.ts";
import { portOf } from "../../stand_ins/http.ts";

const TIMEOUT_MS = 10_000;
const HOST = "127.0.0.1";

let folder: string;
let other: Server;

before(async () => {
  folder = await mkdtemp(join(tmpdir(), "taken-port-"));
  other = createServer();
  await listen(other, { host: HOST, port: 0 });
});

after(async () => {
  other.close();
  await rm(folder, { recursive: true });
});

/** Starts a process and waits for its end; `code` is null if there is none. */
async function run(command: string, addresses: object) {
  const file = join(folder, `${command}.json`);
  const settings = {
    ...{ instance: "one", availabilityZone: "a", fleetKey: "k".repeat(32) },
    ...{ platformUrl: "http://127.0.0.1:1", operatorKey: "o".repeat(32) },
    ...addresses,
  };
  await writeFile(file, JSON.stringify(settings));
  const script = ["dist/src/main.js", command, "--settings", file];
  const child = spawn(process.execPath, script);
  let output = "";
  child.stdout.on("data", (text) => {
    output += text;
  });
  child.stderr.on("data", (text) => {
    output += text;
  });
  const ended = await withTimeout(once(child, "close"), TIMEOUT_MS);
  child.kill("SIGKILL");
  const code = ended.type === "value" ? ended.value[0] : null;
  return { code, output };
}

test("a side process whose admin port is taken says so and ends", async () => {
  const { code, output } = await run("side-process", {
    admin: { host: HOST, port: portOf(other) },
    link: { host: HOST, port: 0 },
    backendServer: {
      ...{ service: "desk", type: "plain", url: "http://127.0.0.1:1" },
      slots: 1,
    },
  });
  assert.match(output, /EADDRINUSE/);
  assert.equal(code, ExitCode.UNAVAILABLE);
});

test("a router whose entry port is taken says so and ends", async () => {
  const { code, output } = await run("router", {
    admin: { host: HOST, port: 0 },
    entry: { host: HOST, port: portOf(other) },
  });
  assert.match(output, /EADDRINUSE/);
  assert.equal(code, ExitCode.UNAVAILABLE);
});
