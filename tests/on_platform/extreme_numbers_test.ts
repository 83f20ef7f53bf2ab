/**
 * Numbers that no page bounds, in configurations, entries and requests: timers,
 * counts, rates and sizes that the runtime doesn't take as they are.
 */

import assert from "node:assert/strict";
import { readFile, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import type { ScriptedServer } from "../../stand_ins/scripted_server.ts";
import { until } from "../../tools/fleet/until.ts";
import {
  call,
  eventsOf,
  type Program,
  ProgramFleet,
  type RunningRouter,
  respondWith,
  waitForEvent,
} from "./program_fixture.ts";
import {
  createWireConfiguration,
  createWireRoute,
} from "./wire_configuration.ts";

const TIMEOUT_MS = 10_000;
/** Values around the limits of timers, buffers, integers and numbers. */
const VALUES = [0, 5e-324, 0.5, 2 ** 31, 2 ** 32 + 1, 2 ** 53, 1.7e308];
/** Longer than a timer that has overflowed and fires at once. */
const PAUSED_MS = 1_500;
/** More than the time by which a program's log lags. */
const SETTLE_MS = 400;

type Fields = Record<string, unknown>;

let fleet: ProgramFleet;
let router: RunningRouter;
let admission: Program;
let engine: ScriptedServer;
let version = 0;
let warningsPath = "";

beforeEach(async () => {
  version = 1;
  warningsPath = join(tmpdir(), `warnings-${process.pid}-${Date.now()}`);
  const nodeFlags = [`--redirect-warnings=${warningsPath}`];
  fleet = await ProgramFleet.start({ configuration: createUsual(version) });
  engine = await fleet.addServer(respondWith(), { service: "m" });
  await fleet.addServer(respondWith());
  admission = await fleet.startAdmission({ nodeFlags });
  router = await fleet.startRouter({ nodeFlags });
  await waitForEvent(router, "gate-connected");
});

afterEach(async () => {
  await fleet.close();
  await rm(warningsPath, { force: true });
});

interface Change {
  readonly route?: Fields;
  readonly service?: Fields;
  readonly engine?: Fields;
  readonly limits?: Fields;
}

/** A configuration with a model and a plain service, and some changed fields. */
function createUsual(
  version: number,
  { route, service, engine, limits }: Change = {},
): object {
  const usual = createWireConfiguration();
  const model = { slots: 8, kvCapacity: 100_000, ...engine };
  const open = { authExempt: true, ...route };
  return {
    ...usual,
    version,
    routes: [
      createWireRoute({ kind: "idempotent", ...open }),
      createWireRoute({
        ...{ name: "plain", kind: "idempotent", service: "n" },
        ...{ pathPrefix: "/n/", ...open },
      }),
    ],
    services: [
      { name: "m", maxConns: 360, engine: model, ...service },
      { name: "n", maxConns: 96, ...service },
    ],
    limits: { ...usual.limits, tokensPerS: 100_000, ...limits },
  };
}

async function configure(change: Change = {}): Promise<void> {
  version += 1;
  fleet.store.put("config", "main", createUsual(version, change));
  await until("the configuration is in force", TIMEOUT_MS, {
    holds: () => eventsOf(router, "configuration").at(-1)?.version === version,
  });
}

const PROMPT = {
  ...{ "x-model": "m", "x-token-count": "30,10" },
  "x-prefix-hash": "shared:20,own:10",
};

async function callBoth(
  headers: Record<string, string> = {},
  deadlineMs = 1_500,
): Promise<number[]> {
  const paths = ["/a/x", "/n/x"];
  const results = await Promise.all(
    paths.map((path) =>
      call(router, { path, deadlineMs, headers: { ...PROMPT, ...headers } }),
    ),
  );
  return results.map(({ status }) => status);
}

/** Checks that nothing has ended, been disconnected or gone wrong unnoticed. */
async function checkPrograms(what: string): Promise<void> {
  for (const program of [router, admission]) {
    const { exitCode, signalCode } = program.process;
    assert.deepEqual([exitCode, signalCode], [null, null], what);
    assert.deepEqual(eventsOf(program, "defect"), [], what);
    const refused = ["gate-lost", "router-lost"]
      .flatMap((event) => eventsOf(program, event))
      .filter(({ reason }) => String(reason).includes("invalid message"));
    assert.deepEqual(refused, [], what);
  }
  const warnings = await readFile(warningsPath, "utf8").catch(() => "");
  assert.equal(warnings, "", what);
}

/** Checks that normal requests are served, and the programs once more. */
async function checkUsual(what: string): Promise<void> {
  await until("requests are served", TIMEOUT_MS, {
    holds: async () => (await callBoth()).every((status) => status === 200),
  });
  await delay(SETTLE_MS);
  await checkPrograms(what);
}

const CONFIGURATION_FIELDS: Record<keyof Change, readonly string[]> = {
  route: [
    ...["timeoutMs", "targetLatencyMs", "gapTargetMs", "priority"],
    "maxAttempts",
  ],
  service: ["maxConns", "coldS", "coldPerS"],
  engine: ["slots", "kvCapacity", "kvTokenBytes", "linkMbps"],
  limits: [
    ...["maxHeaderBytes", "maxBodyBytes", "headerTimeoutMs"],
    ...["idleTimeoutMs", "tokensPerS"],
  ],
};

/** What a field needs beside it to have an effect. */
const COMPANIONS: Record<string, Fields> = {
  coldS: { coldPerS: 4 },
  coldPerS: { coldS: 10 },
  kvTokenBytes: { linkMbps: 100 },
  linkMbps: { kvTokenBytes: 100 },
};

for (const [place, names] of Object.entries(CONFIGURATION_FIELDS)) {
  for (const name of names) {
    // Guards against processes that end, spin or refuse each other's messages once
    // an operator has set a number that the runtime doesn't take.
    test(`any number may be configured as ${name}`, async () => {
      const isWhole = name === "maxAttempts";
      for (const value of VALUES) {
        if (isWhole && !(Number.isInteger(value) && value > 0)) continue;
        const fields = { ...COMPANIONS[name], [name]: value };
        await configure({ [place]: fields });
        fleet.announce(engine, { service: "m", warmupLeftMs: 5_000 });
        await callBoth();
        await checkPrograms(`${name} of ${value}`);
        await configure();
      }
      await checkUsual(name);
    });
  }
}

const ENTRY_FIELDS = ["slots", "warmupLeftMs", "born"];

for (const name of ENTRY_FIELDS) {
  test(`any number may stand in an entry as ${name}`, async () => {
    const cold = { coldS: 10, coldPerS: 4 };
    for (const value of [...VALUES, 2 ** 53 - 1]) {
      fleet.announce(engine, { service: "m", [name]: value });
      await configure({ service: cold });
      await callBoth();
      await checkPrograms(`${name} of ${value}`);
      await configure();
    }
    fleet.announce(engine, { service: "m", born: 2 });
    await checkUsual(name);
  });
}

const LONG_ID = "i".repeat(8_000);
const REQUEST_HEADERS: Record<string, readonly string[]> = {
  "x-token-count": [
    ...["1e308,1e308", "-1e9,-1e9", "0.5,0.5", "12.5,7", "5e-324,0"],
    ...["99999999999999999999,1", "Infinity,1", "0x10,1", ",", "1,,", "-0,-0"],
  ],
  "x-length-hint": ["1e308", "-1e308", "0.5", "5e-324"],
  "x-prefix-hash": [
    ...["a:999999999,b:999999999,c:999999999", "a:0", "a:,", ":", ""],
    // The same parts, of other sizes than an engine is taken to have cached.
    ...["d:40000,e:40000,f:9", "d:5,e:5,f:9", "d:0,e:0,f:0", "d:5,e:5"],
    Array.from({ length: 1_100 }, (_, at) => `p${at}:9`).join(","),
  ],
  "x-attempt-id": [LONG_ID],
  "x-deadline-ms": ["0", "999999999", "1"],
};

for (const [name, values] of Object.entries(REQUEST_HEADERS)) {
  // Guards against requests that make processes refuse each other's messages, or
  // charge a team more than can be counted.
  test(`any number may stand in a request as ${name}`, async () => {
    for (const value of values) {
      await callBoth({ [name]: value });
      const { "x-prefix-hash": _, ...unlisted } = PROMPT;
      for (const path of ["/a/x", "/n/x"])
        await call(router, { path, headers: { ...unlisted, [name]: value } });
      await checkPrograms(`${name}: ${value.slice(0, 60)}`);
    }
    await checkUsual(name);
  });
}

/** Seeds of mixes; more of them are played by hand. */
const SEEDS = Number(process.env.MIX_SEEDS ?? 6);

/** Returns pseudo-random whole numbers below a limit, the same for a seed. */
function createRandom(seed: number): (limit: number) => number {
  let state = seed;
  return (limit) => {
    state = (Math.imul(state, 1_103_515_245) + 12_345) & 0x7fffffff;
    return Math.floor((state / 0x80000000) * limit);
  };
}

function mixFields(
  names: readonly string[],
  random: (limit: number) => number,
): Fields {
  const fields: Fields = {};
  for (const name of names) {
    if (random(3) > 0) continue;
    const value = VALUES[random(VALUES.length)] ?? 0;
    const isWhole = name === "maxAttempts";
    if (!isWhole || (Number.isInteger(value) && value > 0))
      fields[name] = value;
  }
  return fields;
}

test("several odd numbers may stand beside each other", async () => {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const random = createRandom(seed);
    const change = Object.fromEntries(
      Object.entries(CONFIGURATION_FIELDS).map(([place, names]) => [
        place,
        mixFields(names, random),
      ]),
    );
    const entry = mixFields(ENTRY_FIELDS, random);
    await configure(change);
    fleet.announce(engine, { service: "m", ...entry });
    for (const [name, values] of Object.entries(REQUEST_HEADERS)) {
      if (name === "x-attempt-id") continue;
      await callBoth({ [name]: values[random(values.length)] ?? "" });
    }
    await checkPrograms(`seed ${seed}: ${JSON.stringify({ change, entry })}`);
    await configure();
    fleet.announce(engine, { service: "m", born: seed + 10 });
  }
  await checkUsual(`${SEEDS} seeds`);
});

test("a request may last as long as its route allows", async () => {
  await configure({ route: { timeoutMs: 2 ** 40, targetLatencyMs: 2 ** 40 } });
  engine.script = (received) => {
    setTimeout(() => respondWith()(received), PAUSED_MS);
  };
  const response = await request(`http://127.0.0.1:${router.port}/a/x`, {
    headers: { host: "desk.example", "x-attempt-id": "long" },
  });
  assert.equal(response.statusCode, 200);
  assert.equal(await response.body.text(), "fine");
  await checkPrograms("a route without a limit in effect");
});
