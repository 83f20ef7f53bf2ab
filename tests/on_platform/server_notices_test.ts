/** Servers that say in their responses that they leave, or want no requests. */

import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import type {
  ReceivedRequest,
  Script,
  ScriptedServer,
} from "../../stand_ins/scripted_server.ts";
import { until } from "../../tools/fleet/until.ts";
import { endStream, startStream, writeChunk } from "../direct/fixture.ts";
import {
  type CallOptions,
  type CallResult,
  call,
  eventsOf,
  ProgramFleet,
  type RunningRouter,
  refuseWith,
  respondWith,
} from "./program_fixture.ts";
import {
  createWireConfiguration,
  createWireRoute,
} from "./wire_configuration.ts";

const TIMEOUT_MS = 10_000;
const CALL_INTERVAL_MS = 20;
/** Time in which all routers have learnt of a notice, on loopback. */
const SHARED_MS = 500;
/** The users' rule: so many requests may reach a server within its pause. */
const ALLOWED_IN_PAUSE = 2;
const PAUSE_MS = 3_000;
const PAUSE = "Retry-After: 3";
const LEAVING = "Server-Leaving: 1";
const ENGINE_HEADERS = {
  ...{ "x-model": "m", "x-token-count": "20,5" },
  "x-prefix-hash": "p:20",
};

let fleet: ProgramFleet;

afterEach(() => fleet.close());

/** `m`: servers with an admission controller; `n`: servers without one. */
type Service = "m" | "n";

async function startFleet(service: Service, change: object = {}) {
  const route = createWireRoute({
    ...{ kind: "idempotent", service, authExempt: true, maxAttempts: 2 },
    ...{ targetLatencyMs: 1_000, ...change },
  });
  fleet = await ProgramFleet.start({
    configuration: createWireConfiguration({ routes: [route] }),
    bounds: { retrySlack: 1_000 },
  });
}

/** Starts routers; with an admission controller, all of them use it. */
async function startRouters(count: number): Promise<RunningRouter[]> {
  await fleet.startAdmission();
  const routers: RunningRouter[] = [];
  for (let started = 0; started < count; started += 1) {
    const router = await fleet.startRouter();
    routers.push(router);
    await until("the router is connected", TIMEOUT_MS, {
      holds: () => eventsOf(router, "gate-connected").length > 0,
    });
  }
  return routers;
}

/** Calls all routers at a steady rate; returns what each caller got. */
async function callFor(
  routers: readonly RunningRouter[],
  { ms, options = {} }: { ms: number; options?: CallOptions },
): Promise<CallResult[]> {
  const results: Promise<CallResult>[] = [];
  const endMs = performance.now() + ms;
  while (performance.now() < endMs) {
    for (const router of routers) results.push(call(router, options));
    await delay(CALL_INTERVAL_MS);
  }
  return Promise.all(results);
}

/** A server that records when callers' requests reach it. */
interface Recorded {
  readonly server: ScriptedServer;
  /** Times of callers' requests. */
  readonly arrivedAtMs: number[];
  /** When it first said so; infinite before that. */
  saidAtMs: number;
  script: Script;
}

async function addServer(script: Script, entry: object): Promise<Recorded> {
  const recorded: Partial<Recorded> = {
    ...{ arrivedAtMs: [], saidAtMs: Number.POSITIVE_INFINITY, script },
  };
  const server = await fleet.addServer((received) => {
    // The admission controller asks for the cached parts.
    if (received.path !== "/a/x") return;
    recorded.arrivedAtMs?.push(performance.now());
    recorded.script?.(received);
  }, entry);
  return Object.assign(recorded, { server }) as Recorded;
}

function say(recorded: Recorded, script: Script): void {
  recorded.script = (received) => {
    recorded.saidAtMs = Math.min(recorded.saidAtMs, performance.now());
    script(received);
  };
}

/** Requests that reached a server in a time after it first said so. */
function arrivals(
  { arrivedAtMs, saidAtMs }: Recorded,
  { fromMs, toMs }: { readonly fromMs: number; readonly toMs: number },
): number {
  return arrivedAtMs.filter(
    (atMs) => atMs > saidAtMs + fromMs && atMs < saidAtMs + toMs,
  ).length;
}

/** Calls a router until a server has told it that it takes no requests. */
async function learnNotice(router: RunningRouter): Promise<void> {
  const holds = async () => {
    await call(router);
    return eventsOf(router, "server-notice").length > 0;
  };
  await until("the router knows a notice", TIMEOUT_MS, { holds });
}

for (const service of ["m", "n"] as const) {
  const options = service === "m" ? { headers: ENGINE_HEADERS } : {};
  const name = service === "m" ? "engine" : "plain server";
  const engineEntry = { service: "m", slots: 8 };
  const entry = service === "m" ? engineEntry : { service: "n" };

  /** The engine at 127.0.0.1 has the controller, so only one can be tested. */
  async function startPair(change: object = {}) {
    await startFleet(service, change);
    if (service === "n") await addServer(respondWith(), engineEntry);
    const said = await addServer(respondWith(), entry);
    const other =
      service === "n" ? await addServer(respondWith(), entry) : null;
    return { said, other };
  }

  test(`a leaving ${name} gets no request from any router`, async () => {
    const { said, other } = await startPair();
    const routers = await startRouters(3);
    await callFor(routers, { ms: 300, options });
    assert.ok(said.arrivedAtMs.length > 0);
    say(said, respondWith([LEAVING]));
    const results = await callFor(routers, { ms: 2_000, options });
    assert.equal(arrivals(said, { fromMs: SHARED_MS, toMs: 10_000 }), 0);
    const statuses = new Set(results.map(({ status }) => status));
    if (other !== null) assert.deepEqual([...statuses], [200]);
    // A router that starts later learns of it, though the entry says "ready".
    const late = await fleet.startRouter();
    await callFor([late], { ms: 500, options });
    assert.ok(arrivals(said, { fromMs: SHARED_MS, toMs: 20_000 }) <= 1);
  });

  test(`a paused ${name} gets no request from any router until it ends`, async () => {
    const { said, other } = await startPair();
    const routers = await startRouters(3);
    await callFor(routers, { ms: 300, options });
    say(said, refuseWith([PAUSE]));
    const during = callFor(routers, { ms: PAUSE_MS - 500, options });
    await until("it says so", TIMEOUT_MS, {
      holds: () => said.saidAtMs < Number.POSITIVE_INFINITY,
    });
    said.script = respondWith();
    await delay(SHARED_MS);
    const after = await callFor(routers, { ms: PAUSE_MS, options });
    await during;
    const early = arrivals(said, { fromMs: SHARED_MS, toMs: PAUSE_MS - 50 });
    assert.ok(early <= ALLOWED_IN_PAUSE, `${early} in its pause`);
    // It is filled again at once.
    const first = arrivals(said, { fromMs: PAUSE_MS, toMs: PAUSE_MS + 500 });
    assert.ok(first >= 3, `${first} in the first half second after it`);
    if (other !== null)
      assert.deepEqual([...new Set(after.map(({ status }) => status))], [200]);
  });

  test(`callers are refused early while the only ${name} is paused`, async () => {
    await startFleet(service);
    if (service === "n") await addServer(respondWith(), engineEntry);
    const said = await addServer(refuseWith([PAUSE]), entry);
    const [router] = await startRouters(1);
    assert.ok(router);
    const told = await call(router, options);
    const toldAtMs = performance.now();
    const results = await callFor([router], { ms: 1_000, options });
    for (const result of [told, ...results]) {
      assert.equal(result.status, 503);
      assert.ok(result.tookMs < 200, `refused after ${result.tookMs} ms`);
      const atMs = result === told ? 0 : performance.now() - toldAtMs;
      const leftS = (PAUSE_MS - atMs) / 1_000;
      const { retryAfterS } = result;
      assert.ok(retryAfterS !== null && retryAfterS >= leftS - 0.1);
      assert.ok(retryAfterS < 4, `told to come back in ${retryAfterS} s`);
    }
    assert.equal(said.arrivedAtMs.length, 1);
  });

  test(`${name === "engine" ? "an" : "a"} ${name} that restarts under its id is used at once`, async () => {
    await startFleet(service);
    if (service === "n") await addServer(respondWith(), engineEntry);
    const said = await addServer(respondWith([LEAVING, PAUSE]), entry);
    const routers = await startRouters(2);
    for (const router of routers) await call(router, options);
    const before = said.arrivedAtMs.length;
    said.script = respondWith();
    fleet.announce(said.server, { ...entry, born: 2 });
    const holds = async () => {
      const statuses = routers.map((router) => call(router, options));
      return (await Promise.all(statuses)).every(
        ({ status }) => status === 200,
      );
    };
    await until("it gets requests again", 1_500, { holds });
    assert.ok(said.arrivedAtMs.length > before);
  });
}

test("a request that waits is refused once all servers are paused", async () => {
  await startFleet("n", { targetLatencyMs: 4_000, kind: "non_idempotent" });
  const running: ReceivedRequest[] = [];
  const said = await addServer((received) => running.push(received), {
    ...{ service: "n", slots: 4 },
  });
  const router = await fleet.startRouter();
  const first = call(router, { deadlineMs: 8_000 });
  await until("it runs", TIMEOUT_MS, { holds: () => running.length === 1 });
  const sentAtMs = performance.now();
  const waiting = call(router, { deadlineMs: 8_000 });
  await delay(200);
  for (const received of running) refuseWith([PAUSE])(received);
  const refused = await waiting;
  assert.equal(refused.status, 503);
  assert.ok((refused.retryAfterS ?? 0) > 2.8, `${refused.retryAfterS} s`);
  assert.ok(performance.now() - sentAtMs < 1_000);
  assert.equal((await first).status, 503);
  assert.equal(said.arrivedAtMs.length, 1);
});

test("a broken stream isn't resumed at a server that leaves or is paused", async () => {
  for (const line of [LEAVING, PAUSE]) {
    await startFleet("n", { kind: "streaming", streamResume: true });
    const [broken, said] = [
      await addServer(respondWith(), { service: "n" }),
      await addServer(respondWith([line]), { service: "n" }),
    ];
    const sound = await addServer(
      (received) => {
        startStream(received, "id: 2\ndata: b\n\n");
        endStream(received);
      },
      { service: "n" },
    );
    const router = await fleet.startRouter();
    await learnNotice(router);
    const before = said.arrivedAtMs.length;
    for (let count = 0; count < 20; count += 1) {
      broken.script = (received) => {
        startStream(received, "id: 1\ndata: a\n\n");
        writeChunk(received, "id: 2\nda");
        setTimeout(() => received.socket.destroy(), 10);
      };
      const { text } = await call(router);
      assert.match(text, /id: 2\ndata: b\n\n$/);
    }
    assert.equal(said.arrivedAtMs.length, before);
    assert.ok(sound.arrivedAtMs.length > 0);
    if (line === LEAVING) await fleet.close();
  }
});

test("a silent request isn't hedged at a server that leaves or is paused", async () => {
  await startFleet("n", { targetLatencyMs: 200 });
  const silent = await addServer(respondWith(), { service: "n" });
  const said = await addServer(respondWith([LEAVING]), { service: "n" });
  const router = await fleet.startRouter();
  await learnNotice(router);
  const before = said.arrivedAtMs.length;
  silent.script = (received) => {
    setTimeout(() => respondWith()(received), 1_000);
  };
  assert.equal((await call(router)).status, 200);
  assert.equal(said.arrivedAtMs.length, before);
});
