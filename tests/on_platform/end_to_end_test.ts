/**
 * The router and the admission controller, started from their settings
 * templates as the platform does, with a stand-in store and a scripted server.
 */

import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import type { Server } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, test } from "node:test";
import { promisify } from "node:util";
import { request } from "undici";
import { portOf, serve } from "../../stand_ins/http.ts";
import { ScriptedServer } from "../../stand_ins/scripted_server.ts";
import { Store } from "../../stand_ins/store/store.ts";
import { freePorts } from "../../tools/fleet/ports.ts";
import { until } from "../../tools/fleet/until.ts";
import { respondCompletely } from "../direct/fixture.ts";
import {
  DEFAULT_BOUNDS,
  DEFAULT_MACHINE,
  type Program,
  type Role,
  render,
  spawnProgram,
  waitForEvent,
} from "./program_fixture.ts";
import {
  createWireConfiguration,
  createWireRoute,
} from "./wire_configuration.ts";

const TIMEOUT_MS = 15_000;
const ROOT = new URL("../../../", import.meta.url).pathname;
/** Unique per test process, because the port of the metrics is fixed. */
const ROUTER_IP = `127.8.${process.pid % 250}.1`;

const store = new Store();
const backendServer = new ScriptedServer(respondCompletely);
const started: Program[] = [];
let storeServer: Server;
let folder: string;
let ports: number[];

function createConfiguration(version: number, pathPrefix: string) {
  const route = createWireRoute({ kind: "idempotent", pathPrefix });
  return createWireConfiguration({ version, routes: [route] });
}

/** Returns the values that the platform fills into settings templates. */
function createTemplateFields(node: string, ip: string) {
  const [front = 0, ready = 0, admission = 0] = ports;
  return {
    ...{
      node,
      ip,
      zone: "a",
      service: "m",
      app: `127.0.0.1:${backendServer.port}`,
    },
    listen: { front: `127.0.0.1:${front}`, ready: `127.0.0.1:${ready}` },
    internalPorts: [admission, admission + 1],
    platform: { address: `127.0.0.1:${portOf(storeServer)}` },
    bounds: DEFAULT_BOUNDS,
    zones: { a: "north" },
    limits: DEFAULT_MACHINE,
  };
}

async function start(role: Role, settings: string): Promise<Program> {
  const path = join(folder, `${role}-${started.length}.json`);
  await writeFile(path, settings);
  const script = join(ROOT, "dist", "bundle", `${role}_main.js`);
  const program = spawnProgram(script, path);
  started.push(program);
  return program;
}

async function call(path: string) {
  const [front] = ports;
  const response = await request(`http://127.0.0.1:${front}${path}`, {
    headers: {
      ...{ host: "desk.example", "x-attempt-id": "id-1" },
      ...{ "x-deadline-ms": "3000", authorization: "Token k" },
      ...{ "x-model": "m", "x-token-count": "300,20" },
      "x-prefix-hash": "aa:200,bb:100",
    },
  });
  const text = await response.body.text();
  return { status: response.statusCode, text };
}

before(async () => {
  // As the platform starts them.
  const bundle = join(ROOT, "dist", "tools", "bundle.js");
  await promisify(execFile)(process.execPath, [bundle, join(ROOT, "dist")]);
  folder = await mkdtemp(join(tmpdir(), "end-to-end-"));
  ports = await freePorts(3);
  storeServer = await serve((...args) => store.handle(...args), 0);
  await backendServer.listen();
  store.put("config", "main", createConfiguration(1, "/a/"));
  store.put("servers", "i-1", {
    ...{ service: "m", address: `127.0.0.1:${backendServer.port}`, zone: "a" },
    ...{ slots: 8, version: "v1", state: "ready" },
  });
});

after(async () => {
  for (const { process: child } of started) child.kill("SIGKILL");
  backendServer.crash();
  storeServer.close();
  storeServer.closeAllConnections();
  await rm(folder, { recursive: true });
});

test("a request reaches the server; SIGTERM ends both programs", async () => {
  const admissionFields = createTemplateFields("side-1", "127.0.0.1");
  const admission = await start(
    "admission",
    await render("admission", admissionFields),
  );
  await waitForEvent(admission, "start");
  const fields = createTemplateFields("edge-1", ROUTER_IP);
  const router = await start("router", await render("router", fields));
  await waitForEvent(router, "gate-connected");
  const [, ready] = ports;
  const readiness = await request(`http://127.0.0.1:${ready}/ready`);
  await readiness.body.dump();
  assert.equal(readiness.statusCode, 200);

  assert.deepEqual(await call("/a/x"), { status: 200, text: "fine" });
  const seen = backendServer.requests.find(({ path }) => path === "/a/x");
  assert.equal(seen?.headers["x-expect-replica"], "i-1");
  assert.equal(seen?.headers["x-tenant"], "porters");
  assert.equal(seen?.headers.authorization, undefined);

  store.put("config", "main", createConfiguration(2, "/b/"));
  const isInForce = async () => (await call("/b/x")).status === 200;
  await until("the new route is in force", TIMEOUT_MS, { holds: isInForce });
  assert.equal((await call("/a/x")).status, 404);

  for (const program of [router, admission]) {
    const ended = once(program.process, "exit");
    program.process.kill("SIGTERM");
    assert.deepEqual(await ended, [0, null]);
    await waitForEvent(program, "stopped");
  }
});

test("incomplete settings end both programs with exit code 2", async () => {
  for (const role of ["router", "admission"] as const) {
    const program = await start(role, "{}");
    const [code] = await once(program.process, "exit");
    assert.equal(code, 2);
    await waitForEvent(program, "settings-refused");
    assert.match(String(program.events[0]?.findings), /instance/);
  }
});
