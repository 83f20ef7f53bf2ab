/** The command line against a simulated platform and a small fleet. */

import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { readFile, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { after, before, test } from "node:test";
import { deskDeployment } from "../../tools/fleet/deployments.ts";
import { Fleet, OPERATOR_KEY } from "../../tools/fleet/fleet.ts";

let fleet: Fleet;

interface CommandResult {
  readonly code: number | null;
  readonly out: string;
  readonly err: string;
}

async function run(...args: string[]): Promise<CommandResult> {
  const child = spawn(process.execPath, ["dist/src/main.js", ...args], {
    env: {
      ...process.env,
      ORIOLE_PLATFORM: fleet.platformUrl,
      ORIOLE_OPERATOR_KEY: OPERATOR_KEY,
    },
  });
  let out = "";
  let err = "";
  child.stdout.on("data", (text) => {
    out += text;
  });
  child.stderr.on("data", (text) => {
    err += text;
  });
  const [code] = (await once(child, "close")) as [number | null];
  return { code, out, err };
}

async function writeDocument(name: string, change: object): Promise<string> {
  const file = join(fleet.directory, name);
  const document = { ...deskDeployment().document, ...change };
  await writeFile(file, JSON.stringify(document, null, 2));
  return file;
}

before(async () => {
  const base = deskDeployment();
  const services = base.services.map((one) => ({ ...one, replicas: 1 }));
  fleet = await Fleet.start({ ...base, routers: 1, services });
});

after(async () => {
  await fleet.stop();
});

test("validate prints all findings with their lines and fails", async () => {
  const rule = {
    name: "x",
    when: { team: ["nobody"] },
    then: { type: "admit" },
  };
  const file = await writeDocument("bad.json", { rules: [rule, rule] });
  const { code, out } = await run("config", "validate", file);
  assert.equal(code, 1);
  assert.match(out, /line \d+, \/rules\/0\/when\/team\/0: Team "nobody"/);
  assert.match(out, /\/rules\/1\/name: Name "x" stands twice/);
});

test("apply rejects an invalid document and changes nothing", async () => {
  const file = await writeDocument("worse.json", { contracts: [] });
  const { code, err } = await run("config", "apply", file);
  assert.equal(code, 2);
  assert.match(err, /Contract "large" is not known/);
  const shown = await run("config", "show", "--json");
  assert.equal(JSON.parse(shown.out).version, 1);
});

test("apply waits, keeps the history and detects conflicts", async () => {
  const file = await writeDocument("next.json", { targets: [] });
  const diff = await run("config", "diff", file);
  assert.match(diff.out, /^-.*first-token/m);
  const applied = await run(
    ...["config", "apply", file, "--expect", "1"],
    ...["--comment", "fewer targets", "--wait", "8", "--json"],
  );
  assert.equal(applied.code, 0, applied.err);
  assert.deepEqual(JSON.parse(applied.out), {
    version: 2,
    having: 3,
    total: 3,
  });
  const history = await run("config", "history");
  assert.match(history.out, /^2 .*fewer targets/m);
  const late = await run("config", "apply", file, "--expect", "1");
  assert.equal(late.code, 3);
  assert.match(late.err, /Version 2 is in force/);
});

test("explain names the match and what failed before it", async () => {
  const { out, code } = await run(
    ...["explain", "--team", "desk-01", "--service", "desk-app"],
    ...["--kind", "call"],
  );
  assert.equal(code, 0);
  assert.match(out, /^- notices-once: does not match on kind/m);
  assert.match(out, /^\+ calls-first: matches/m);
});

test("status lists all processes", async () => {
  const { out, code } = await run("status");
  assert.equal(code, 0);
  for (const name of ["router-0", "desk-model-0", "desk-app-0"]) {
    assert.match(out, new RegExp(`^${name} `, "m"));
  }
});

test("report burn writes an HTML page", async () => {
  const file = join(fleet.directory, "burn.html");
  const { code } = await run("report", "burn", "--html", file);
  assert.equal(code, 0);
  assert.match(await readFile(file, "utf8"), /Service-level burn/);
});

test("invalid settings end the daemon with all findings", async () => {
  const file = join(fleet.directory, "settings.json");
  await writeFile(file, '{\n  "instance": "",\n  "fleetKey": "short"\n}');
  const { code, err } = await run("router", "--settings", file);
  assert.equal(code, 2);
  assert.match(err, /line 2, \/instance/);
  assert.match(err, /line 3, \/fleetKey/);
  assert.match(err, /platformUrl/);
});

test("an unreachable platform is reported with exit code 4", async () => {
  const { code, err } = await run(
    ...["config", "show", "--platform", "http://127.0.0.1:1"],
  );
  assert.equal(code, 4);
  assert.match(err, /unavailable/);
});
