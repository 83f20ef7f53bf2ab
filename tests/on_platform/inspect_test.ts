/** Output and exit codes of the command `oriolerouter-platform`. */

import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, test } from "node:test";
import {
  createWireConfiguration,
  createWireRoute,
} from "./wire_configuration.ts";

const PROGRAM = new URL("../../platform/inspect_main.js", import.meta.url)
  .pathname;

const CONFIGURATION = createWireConfiguration({
  version: 7,
  routes: [
    createWireRoute({ streamResume: true }),
    createWireRoute({
      ...{ name: "notes", pathPrefix: "/a/b/", kind: "non_idempotent" },
      ...{ timeoutMs: 900, targetLatencyMs: 100, maxAttempts: 1 },
      ...{ service: "n", authExempt: true },
    }),
  ],
});

function createEntry(name: string, spec: object) {
  const metadata = { name, rev: 1 };
  const defaults = {
    zone: "a",
    slots: 4,
    version: "v1",
    state: "ready",
    address: "10.0.0.1:80",
  };
  return { metadata, spec: { ...defaults, ...spec } };
}

let folder: string;

before(async () => {
  folder = await mkdtemp(join(tmpdir(), "inspect-"));
});

after(() => rm(folder, { recursive: true }));

async function write(name: string, value: unknown): Promise<string> {
  const path = join(folder, name);
  await writeFile(path, JSON.stringify(value));
  return path;
}

interface CommandResult {
  readonly code: number;
  readonly out: string;
  readonly error: string;
}

function run(...args: string[]): Promise<CommandResult> {
  return new Promise((resolve) => {
    execFile(process.execPath, [PROGRAM, ...args], (failure, out, error) => {
      resolve({ code: Number(failure?.code ?? 0), out, error });
    });
  });
}

test("a valid configuration passes, as stored object or as spec", async () => {
  const spec = await write("spec.json", CONFIGURATION);
  assert.equal((await run("check-configuration", spec)).code, 0);
  const metadata = { name: "main", rev: 3 };
  const stored = await write("o.json", { metadata, spec: CONFIGURATION });
  const { code, out } = await run("check-configuration", stored);
  assert.equal(code, 0);
  assert.match(out, /valid/);
});

test("every configuration error is printed with its path", async () => {
  const wrong = { ...CONFIGURATION, version: "7", limits: {} };
  const { code, out } = await run(
    "check-configuration",
    await write("wrong.json", wrong),
  );
  assert.equal(code, 1);
  assert.match(out, /\/version: /);
  assert.match(out, /\/limits: /);
});

test("check-settings names missing settings and exits with 1", async () => {
  const file = await write("settings.json", { instance: "edge-1" });
  const { code, out } = await run("check-settings", "router", file);
  assert.equal(code, 1);
  assert.match(out, /availabilityZone/);
  assert.match(out, /noticeMs/);
});

test("unusable arguments and files are reported and exit with 2", async () => {
  const file = await write("settings.json", {});
  const role = await run("check-settings", "cook", file);
  assert.deepEqual([role.code, role.error], [2, 'No role "cook"\n']);
  const missing = await run("check-configuration", join(folder, "none"));
  assert.equal(missing.code, 2);
  assert.match(missing.error, /none/);
  assert.equal((await run("explain")).code, 2);
});

test("explain names route, team and servers of a model request", async () => {
  const items = ["i-1", "i-2", "i-3"].map((name) =>
    createEntry(name, { service: "m" }),
  );
  const drained = createEntry("i-4", { service: "m", state: "draining" });
  const broken = createEntry("i-5", { service: "m", slots: "many" });
  const listing = { items: [...items, drained, broken] };
  const { code, out, error } = await run(
    ...["explain", await write("c.json", CONFIGURATION)],
    ...["--host", "desk.example", "--path", "/a/x", "--key", "k"],
    ...["--parts", "head:800,own:20"],
    ...["--servers", await write("servers.json", listing)],
  );
  assert.equal(code, 0);
  assert.match(out, /route "chat" has the longest prefix, "\/a\/"/);
  assert.match(out, /team "porters"/);
  assert.match(out, /resumable: up to 2 servers, 800 ms/);
  assert.match(out, /3 ready, 1 draining/);
  assert.match(out, /head is kept by i-\d and i-\d/);
  assert.match(error, /Entry "i-5": Slots are not a number/);
});

test("explain says why a request would be refused", async () => {
  const file = await write("c.json", CONFIGURATION);
  const explain = async (path: string, ...options: string[]) => {
    const target = ["--host", "desk.example", "--path", path];
    return (await run("explain", file, ...target, ...options)).out;
  };
  assert.match(await explain("/other/"), /404/);
  assert.match(await explain("/a/x"), /No key is shown.*401/);
  assert.match(await explain("/a/x", "--key", "old"), /No team has.*401/);
  const notes = await explain("/a/b/x");
  assert.match(notes, /needs no key/);
  assert.match(notes, /It may run once/);
  assert.match(notes, /503 until one is ready/);
});
