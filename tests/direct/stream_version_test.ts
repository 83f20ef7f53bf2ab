/** Streams while servers of two software versions serve side by side. */

import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import type { AdmissionProcess } from "../../src/admission/mod.ts";
import {
  type ReceivedRequest,
  ScriptedServer,
} from "../../stand_ins/scripted_server.ts";
import { freePorts } from "../../tools/fleet/ports.ts";
import { createConfiguration, createRoute } from "../support/routes.ts";
import {
  endStream,
  type RouterFixture,
  startAdmission,
  startRouter,
  startStream,
  writeChunk,
} from "./fixture.ts";

const OBJECTIVE_MS = 1_000;
/** Far below the time that a request may wait for a server. */
const AT_ONCE_MS = 300;
const STREAMS = 12;
/** More than a delayed acknowledgement, without which the event isn't sent. */
const BREAK_AFTER_MS = 100;
/** Time in which routers are connected to an admission process on loopback. */
const CONNECT_MS = 1_000;

/** How servers treat a stream that begins at them. */
type Beginning = "complete" | "break" | "stall";

let servers: ScriptedServer[] = [];
let routers: RouterFixture[] = [];
let admission: AdmissionProcess | null = null;
let beginning: Beginning = "complete";

afterEach(async () => {
  for (const server of servers) server.crash();
  await Promise.all(routers.map((router) => router.close()));
  await admission?.close();
  servers = [];
  routers = [];
  admission = null;
});

/** Writes events that name the version; goes on after the caller's last one. */
function serveStream(received: ReceivedRequest, version: string): void {
  const lastId = received.headers["last-event-id"];
  const isBeginning = lastId === undefined;
  const id = Number(lastId ?? 0) + 1;
  startStream(received, `id: ${id}\ndata: ${version}\n\n`);
  if (!isBeginning || beginning === "complete") {
    writeChunk(received, `id: ${id + 1}\ndata: ${version}\n\n`);
    endStream(received);
  } else if (beginning === "break") {
    setTimeout(() => received.socket.resetAndDestroy(), BREAK_AFTER_MS);
  }
}

interface StartOptions {
  readonly versions: readonly string[];
  readonly routerCount?: number;
  readonly objectiveMs?: number;
}

async function start({
  versions,
  routerCount = 1,
  objectiveMs = OBJECTIVE_MS,
}: StartOptions): Promise<void> {
  servers = versions.map(
    (version) =>
      new ScriptedServer((received) => serveStream(received, version)),
  );
  for (const server of servers) await server.listen();
  const [gatePort = 0] = await freePorts(1);
  admission = await startAdmission(gatePort);
  const engine = { slots: 64, cacheTokens: 400_000, copiedTokensPerMs: 0 };
  const services = [
    { name: "desk", maxConnections: 100, engine, coldStart: null },
  ];
  const stream = { streaming: true, repetition: "resumable" } as const;
  const routes = [createRoute({ ...stream, objectiveMs })];
  const configuration = createConfiguration({ services, routes });
  routers = await Promise.all(
    Array.from({ length: routerCount }, () =>
      startRouter(servers, { configuration, gatePort, versions }),
    ),
  );
  await delay(CONNECT_MS);
}

interface CallResult {
  readonly id: string;
  readonly status: number;
  readonly text: string;
  readonly isComplete: boolean;
  readonly tookMs: number;
}

interface CallOptions {
  readonly router?: RouterFixture | undefined;
  readonly headers?: Record<string, string>;
  /** Leaves after the first event. */
  readonly leaves?: boolean;
}

/** Each call has a prefix of its own, so that servers are chosen anew. */
let lastId = 0;

/** Reads a stream to its end, or to the first event. */
async function call({
  router = routers[0],
  headers = {},
  leaves = false,
}: CallOptions = {}): Promise<CallResult> {
  lastId += 1;
  const id = `id-${lastId}`;
  const sentAtMs = performance.now();
  const url = `http://127.0.0.1:${router?.port}/lookup/${lastId}`;
  const response = await request(url, {
    headers: {
      ...{ host: "desk.example", "x-attempt-id": id, "x-deadline-ms": "4000" },
      ...{ "x-model": "m", "x-token-count": "20,5" },
      ...{ "x-prefix-hash": `head${lastId}:10,own${lastId}:10`, ...headers },
    },
  });
  let text = "";
  let isComplete = false;
  try {
    for await (const chunk of response.body) {
      text += String(chunk);
      if (leaves && text.includes("\n\n")) break;
    }
    isComplete = true;
  } catch {
    // The stream was reset.
  }
  const tookMs = performance.now() - sentAtMs;
  return { id, status: response.statusCode, text, isComplete, tookMs };
}

function takeUp(first: CallResult, router = routers[1]): Promise<CallResult> {
  const headers = { "last-event-id": "1", resumes: first.id };
  return call({ router, headers });
}

function versionsIn(text: string): string[] {
  const found = [...text.matchAll(/data: (\S+)/g)].map(([, name]) => name);
  return [...new Set(found)].map(String);
}

function arrivals(): number {
  return servers.reduce((sum, server) => sum + server.requests.length, 0);
}

test("a stream that breaks goes on at the version that began it", async () => {
  await start({ versions: ["v1", "v2", "v1", "v2"] });
  beginning = "break";
  for (let stream = 0; stream < STREAMS; stream += 1) {
    const { text, isComplete } = await call();
    assert.equal(versionsIn(text).length, 1, text);
    assert.ok(isComplete);
  }
});

test("a stream whose version no other server has ends at once", async () => {
  await start({ versions: ["v1", "v2"] });
  beginning = "break";
  for (let stream = 0; stream < STREAMS; stream += 1) {
    const { text, isComplete, tookMs } = await call();
    assert.equal(versionsIn(text).length, 1, text);
    assert.equal(isComplete, false);
    assert.ok(tookMs < AT_ONCE_MS, `${tookMs} ms`);
  }
});

test("a silent stream isn't taken over by a server of another version", async () => {
  await start({ versions: ["v1", "v2"], objectiveMs: 100 });
  beginning = "stall";
  const running = call();
  await delay(AT_ONCE_MS * 3);
  for (const server of servers)
    for (const received of server.requests) endStream(received);
  const { text, isComplete } = await running;
  assert.equal(versionsIn(text).length, 1, text);
  assert.ok(isComplete);
  assert.equal(arrivals(), 1);
});

test("a caller takes its stream up at the version that began it", async () => {
  await start({ versions: ["v1", "v2", "v1", "v2"], routerCount: 2 });
  for (let stream = 0; stream < STREAMS; stream += 1) {
    beginning = "stall";
    const first = await call({ leaves: true });
    const second = await takeUp(first);
    assert.equal(second.status, 200);
    const text = first.text + second.text;
    assert.equal(versionsIn(text).length, 1, text);
  }
});

test("a caller takes its stream up after its router is gone", async () => {
  await start({ versions: ["v1", "v2", "v1", "v2"], routerCount: 2 });
  beginning = "stall";
  const calls = Array.from({ length: STREAMS }, () => call({ leaves: true }));
  const begun = await Promise.all(calls);
  await routers.shift()?.close();
  for (const first of begun) {
    const second = await takeUp(first, routers[0]);
    assert.equal(second.status, 200);
    const text = first.text + second.text;
    assert.equal(versionsIn(text).length, 1, text);
  }
});

test("a stream whose version is gone isn't taken up", async () => {
  await start({ versions: ["v1", "v2"], routerCount: 2 });
  beginning = "stall";
  const first = await call({ leaves: true });
  const [version] = versionsIn(first.text);
  const gone = version === "v1" ? "s1" : "s2";
  for (const { router } of routers) router.directory.remove(gone);
  const before = arrivals();
  const second = await takeUp(first);
  assert.equal(second.status, 503);
  assert.ok(second.tookMs < AT_ONCE_MS, `${second.tookMs} ms`);
  assert.equal(arrivals(), before);
});

test("a take-up is refused, not guessed, if nobody knows how it began", async () => {
  await start({ versions: ["v1", "v2"], routerCount: 2 });
  const takeUps: Record<string, string>[] = [
    { "last-event-id": "1", resumes: "never-seen" },
    { "last-event-id": "1" },
  ];
  for (const headers of takeUps) {
    const { status, tookMs } = await call({ headers });
    assert.equal(status, 503);
    assert.ok(tookMs < OBJECTIVE_MS, `${tookMs} ms`);
  }
  assert.equal(arrivals(), 0);
});

test("a request without an event before is a new stream", async () => {
  await start({ versions: ["v1", "v2"] });
  beginning = "complete";
  const { status, isComplete } = await call({ headers: { resumes: "other" } });
  assert.equal(status, 200);
  assert.ok(isComplete);
});

const unnamed = { "last-event-id": "1", resumes: "never-seen" };

// Guards against streams that end for good because all processes that remembered
// them were killed, although no version could be mixed.
test("a take-up that nobody remembers goes on at the only version", async () => {
  await start({ versions: ["v1", "v1"] });
  routers[0]?.router.versions.complete([]);
  const { status, text } = await call({ headers: unnamed });
  assert.equal(status, 200);
  assert.deepEqual(versionsIn(text), ["v1"]);
});

test("a take-up at a router that has just started is refused", async () => {
  await start({ versions: ["v1", "v1"] });
  const { status } = await call({ headers: unnamed });
  assert.equal(status, 503);
  assert.equal(arrivals(), 0);
});

test("a take-up isn't guessed after a version was replaced", async () => {
  await start({ versions: ["v1", "v2"] });
  const { router } = routers[0] ?? assert.fail("No router");
  router.versions.complete([]);
  router.directory.remove("s1");
  const { status } = await call({ headers: unnamed });
  assert.equal(status, 503);
  assert.equal(arrivals(), 0);
});
