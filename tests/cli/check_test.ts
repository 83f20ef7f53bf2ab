/** Output and exit codes of the command `check`, in both formats. */

import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, test } from "node:test";
import { deskDeployment } from "../../tools/fleet/deployments.ts";
import {
  createWireConfiguration,
  createWireRoute,
} from "../on_platform/wire_configuration.ts";

const PROGRAMS = {
  product: new URL("../../src/main.js", import.meta.url).pathname,
  platform: new URL("../../platform/inspect_main.js", import.meta.url).pathname,
} as const;

let folder: string;

before(async () => {
  folder = await mkdtemp(join(tmpdir(), "check-"));
});

after(() => rm(folder, { recursive: true }));

async function write(name: string, value: unknown): Promise<string> {
  const path = join(folder, name);
  const text =
    typeof value === "string" ? value : JSON.stringify(value, null, 1);
  await writeFile(path, text);
  return path;
}

function createDocument(change: object = {}): object {
  return { ...deskDeployment().document, ...change };
}

function createRule(name: string, when: object) {
  return { name, when, then: { type: "admit" } };
}

/** Runs the command; `code` is its exit code. */
function check(
  program: keyof typeof PROGRAMS,
  ...args: string[]
): Promise<{
  readonly code: number;
  readonly out: string;
  readonly error: string;
}> {
  const words = [PROGRAMS[program], "check", ...args];
  return new Promise((resolve) => {
    execFile(process.execPath, words, (failure, out, error) => {
      resolve({ code: Number(failure?.code ?? 0), out, error });
    });
  });
}

test("a sound document passes, and differences don't fail it", async () => {
  const old = await write("old.json", createDocument({ rules: [] }));
  const rules = [createRule("night", { method: ["POST"] })];
  const file = await write("new.json", createDocument({ rules }));
  const { code, out } = await check("product", file, "--against", old);
  assert.equal(code, 0, out);
  assert.match(out, /^Nothing to correct/);
  assert.match(out, /rules "night": added/);
});

test("hidden rules and targets over the deadline are told with lines", async () => {
  const rules = [
    createRule("all", {}),
    createRule("never", { timeOfDay: { from: "08:00", to: "08:00" } }),
  ];
  const [service] = deskDeployment().document.services;
  assert.ok(service);
  const targets = [
    {
      ...{ service: service.name, measure: "completion", objective: 0.9 },
      limitMs: service.deadlineMs + 1,
    },
  ];
  const file = await write("hidden.json", createDocument({ rules, targets }));
  const { code, out } = await check("product", file);
  assert.equal(code, 1);
  const [, hidden = "", limits = ""] =
    /have no effect:\n([\s\S]*)\n\nLimits.*:\n([\s\S]*)/.exec(out) ?? [];
  assert.match(hidden, /line \d+, \/rules\/1: .*"all" before it/);
  assert.match(hidden, /line \d+, \/rules\/1\/when: .*ends at 08:00/);
  assert.match(limits, /line \d+, \/targets\/0: /);
});

test("a text that isn't a document is an error, one to compare with a usage", async () => {
  const file = await write("broken.json", "{");
  const broken = await check("product", file, "--json");
  assert.equal(broken.code, 1);
  assert.equal(JSON.parse(broken.out).concerns[0].type, "error");
  const sound = await write("sound.json", createDocument());
  const { code, error } = await check("product", sound, "--against", file);
  assert.equal(code, 2);
  assert.match(error, /broken\.json: /);
  assert.equal((await check("product", join(folder, "absent.json"))).code, 2);
});

test("the platform's format is checked with its own places", async () => {
  const spec = createWireConfiguration({
    tenants: [
      { name: "porters", apiKeys: ["k"] },
      { name: "clerks", apiKeys: ["k"] },
    ],
  });
  const file = await write("o.json", {
    metadata: { name: "main", rev: 3 },
    spec,
  });
  const { code, out } = await check("platform", file);
  assert.equal(code, 1);
  assert.match(out, /Errors:\nline \d+, \/spec\/tenants\/1: /);
  assert.match(out, /no effect:\nline \d+, \/spec\/services\/1: .*"n"/);
  assert.ok(!out.includes('"k"'));
});

test("the platform's version in force is compared with", async () => {
  const services = createWireConfiguration().services.slice(0, 1);
  const old = await write(
    "in_force.json",
    createWireConfiguration({ services }),
  );
  const routes = [createWireRoute({ timeoutMs: 6_000 })];
  const file = await write(
    "next.json",
    createWireConfiguration({ version: 2, services, routes }),
  );
  const args = [file, "--against", old, "--json"];
  const { code, out } = await check("platform", ...args);
  assert.equal(code, 0, out);
  assert.deepEqual(JSON.parse(out), {
    concerns: [],
    changes: [
      {
        ...{ type: "changed", section: "routes", name: "chat" },
        ...{ field: "timeoutMs", before: "5000", after: "6000" },
      },
    ],
  });
});
