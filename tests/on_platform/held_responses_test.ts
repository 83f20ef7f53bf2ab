/**
 * Servers in trouble whose responses make a router hold what they send: bodies
 * in small pieces, events that don't end, callers that read nothing. The router
 * must live and stay within its machine's memory, and callers of other servers
 * must be answered during it and afterwards.
 */

import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import type {
  ReceivedRequest,
  Script,
} from "../../stand_ins/scripted_server.ts";
import { until } from "../../tools/fleet/until.ts";
import { serverHeaders, writeEndlessly } from "../direct/fixture.ts";
import { Crowd, type CrowdOptions } from "../support/crowd.ts";
import { peakResidentBytes } from "../support/process_memory.ts";
import {
  call,
  ProgramFleet,
  type RunningRouter,
  respondWith,
} from "./program_fixture.ts";
import {
  createWireConfiguration,
  createWireRoute,
} from "./wire_configuration.ts";

const TIMEOUT_MS = 30_000;
/** The smallest machine of the deployments. */
const MACHINE = { memoryMb: 210, maxFds: 4_096 };
const MEMORY_BOUND_BYTES = 210 * 1_000_000;
const NODE_FLAGS = ["--max-old-space-size=64"];
/** Slots of an engine on the platform. */
const SLOTS = 64;
/** Servers in trouble at once, and their callers. */
const SERVERS = 4;
const CALLERS = 64;
/** Callers of streams with long events: room for some, and not for all. */
const MANY_CALLERS = SLOTS * SERVERS;
const CHECK_INTERVAL_MS = 250;
/** Checks after which the servers are taken to send no more. */
const UNCHANGED_CHECKS = 4;
/** Time for which servers send that are never stopped. */
const SENDING_MS = 6_000;
/** Shorter than the longest event that a router takes (1 MiB). */
const LONG_EVENT_BYTES = 1_000_000;
const LARGE_CHUNK_BYTES = 16_384;

let fleet: ProgramFleet;
let router: RunningRouter;
let crowd: Crowd | null = null;

afterEach(async () => {
  crowd?.close();
  crowd = null;
  await fleet.close();
});

/** Routes to the servers in trouble, by the kind of response. */
const ROUTES = {
  ticket: { pathPrefix: "/ticket/", kind: "non_idempotent" },
  lookup: { pathPrefix: "/lookup/", kind: "idempotent" },
  stream: { pathPrefix: "/stream/", kind: "streaming" },
  "resumable stream": {
    ...{ pathPrefix: "/resumable/", kind: "streaming" },
    ...{ streamResume: true, gapTargetMs: 800 },
  },
} as const;

type RouteKind = keyof typeof ROUTES;

async function start(
  service: string,
  trouble: (request: ReceivedRequest) => void,
): Promise<void> {
  const routes = Object.entries(ROUTES).map(([name, route]) =>
    createWireRoute({ name, service, timeoutMs: 30_000, ...route }),
  );
  const sound = { name: "sound", pathPrefix: "/sound/", service: "sound" };
  const configuration = createWireConfiguration({
    routes: [...routes, createWireRoute({ ...sound, kind: "idempotent" })],
    services: [
      { name: "m", maxConns: 360, engine: { slots: SLOTS, kvCapacity: 1e6 } },
      { name: "n", maxConns: 360 },
      { name: "sound", maxConns: 96 },
    ],
  });
  fleet = await ProgramFleet.start({ configuration });
  const isEngine = service === "m";
  const servers = isEngine ? 1 : SERVERS;
  for (let added = 0; added < servers; added += 1)
    await fleet.addServer(troubled(trouble), { service, slots: SLOTS });
  await fleet.addServer(respondWith(), { service: "sound" });
  if (isEngine) await fleet.startAdmission();
  router = await fleet.startRouter({ machine: MACHINE, nodeFlags: NODE_FLAGS });
}

/** An engine's own calls are answered, all others get the trouble. */
function troubled(trouble: (request: ReceivedRequest) => void): Script {
  return (received) => {
    if (received.method === "GET") respondWith()(received);
    else trouble(received);
  };
}

/** Checks that the router lives within its machine and serves others. */
async function checkRouter(): Promise<void> {
  const { exitCode, signalCode, pid = 0 } = router.process;
  assert.deepEqual(
    { exitCode, signalCode },
    { exitCode: null, signalCode: null },
    "the router has ended",
  );
  const bytes = await peakResidentBytes(pid);
  assert.ok(bytes < MEMORY_BOUND_BYTES, `holds ${bytes} bytes`);
}

async function checkOrdinaryCaller(): Promise<void> {
  const holds = async () => {
    await checkRouter();
    const result = await call(router, { path: "/sound/x" }).catch(() => null);
    return result?.status === 200;
  };
  await until("an ordinary request is answered", TIMEOUT_MS, { holds });
}

/** Waits until the servers send no more, or have sent for long. */
async function waitUntilSent(): Promise<void> {
  const startMs = performance.now();
  let before = -1;
  let unchanged = 0;
  const holds = async () => {
    await checkRouter();
    const sockets = fleet.servers.flatMap(({ requests }) =>
      requests.map(({ socket }) => socket),
    );
    const sent = sockets.reduce((sum, one) => sum + one.bytesWritten, 0);
    unchanged = sent === before && sent > 0 ? unchanged + 1 : 0;
    before = sent;
    const isLong = performance.now() - startMs > SENDING_MS;
    if (unchanged >= UNCHANGED_CHECKS || isLong) return true;
    await delay(CHECK_INTERVAL_MS);
    return false;
  };
  await until("the servers have sent", TIMEOUT_MS, { holds });
}

interface Trouble {
  readonly route: RouteKind;
  /** `m` has an engine, `n` hasn't. */
  readonly service?: "m" | "n";
  readonly script: (request: ReceivedRequest) => void;
  readonly callers?: number;
  readonly reads?: CrowdOptions["reads"];
}

/** Plays trouble to a crowd of callers, and checks the router. */
async function withstand({
  route,
  service = "n",
  script,
  callers = CALLERS,
  reads = "reads",
}: Trouble): Promise<void> {
  await start(service, script);
  const { pathPrefix } = ROUTES[route];
  crowd = await Crowd.open(router.port, {
    connections: callers,
    reads,
    pieces: (index) => [head(`${pathPrefix}${index}`, `c-${index}`)],
  });
  await waitUntilSent();
  await checkOrdinaryCaller();
  crowd.close();
  await checkOrdinaryCaller();
}

function head(path: string, id: string): string {
  const lines = [
    ...[`POST ${path} HTTP/1.1`, "Host: desk.example", "Content-Length: 0"],
    ...["Authorization: Token k", "X-Deadline-Ms: 20000"],
    ...[`X-Attempt-Id: ${id}`, "X-Model: m", "X-Token-Count: 10,10"],
    `X-Prefix-Hash: ${id}:10`,
  ];
  return `${lines.join("\r\n")}\r\n\r\n`;
}

function responseHead(request: ReceivedRequest, framing: string): string {
  const type = "Content-Type: text/event-stream\r\n";
  return `HTTP/1.1 200 OK\r\n${serverHeaders(request)}${type}${framing}\r\n`;
}

const CHUNKED = "Transfer-Encoding: chunked\r\n";

function chunkOf(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** Sends a body in chunks of one text, without end. */
function sendChunks(text: string): Script {
  return (request) =>
    writeEndlessly(request, {
      start: responseHead(request, CHUNKED),
      piece: chunkOf(text),
    });
}

/** Sends most of a long event, then nothing more. */
function stopWithinEvent(framing: "chunks" | "until-close" | "length"): Script {
  const lines = {
    ...{ chunks: CHUNKED, "until-close": "" },
    length: `Content-Length: ${2 * LONG_EVENT_BYTES}\r\n`,
  };
  const text = "x".repeat(LARGE_CHUNK_BYTES);
  const piece = framing === "chunks" ? chunkOf(text) : text;
  const repeats = Math.floor(LONG_EVENT_BYTES / LARGE_CHUNK_BYTES);
  return (request) => {
    request.socket.write(responseHead(request, lines[framing]));
    request.socket.write(piece.repeat(repeats));
  };
}

// Guards against a router that counts the bytes it holds of a response, but not
// the objects in which it keeps them, and runs out of memory.
for (const route of ["resumable stream", "stream", "ticket", "lookup"] as const)
  test(`bodies in one-byte chunks without end, of a ${route}`, () =>
    withstand({ route, script: sendChunks("x") }));

test("bodies in one-byte chunks without end, of an engine", () =>
  withstand({
    ...{ route: "resumable stream", service: "m", script: sendChunks("x") },
  }));

// Guards against bounds that hold for each response only: a router has room for
// some long events, and not for one of each of its callers.
for (const framing of ["chunks", "until-close", "length"] as const)
  test(`long events of many streams that stop within, by ${framing}`, () =>
    withstand({
      ...{ route: "resumable stream", script: stopWithinEvent(framing) },
      callers: MANY_CALLERS,
    }));

// Guards against small writes that pile up before a caller that reads nothing.
for (const route of ["resumable stream", "stream", "ticket"] as const)
  test(`one-byte events of a ${route} that nobody reads`, () =>
    withstand({
      ...{ route, script: sendChunks("\n"), reads: "reads-nothing" },
      callers: MANY_CALLERS,
    }));

const MANY_LINES = Array.from({ length: 2_600 }, (_, index) => index)
  .map((index) => `${index.toString(36)}:\r\n`)
  .join("");
/** In one read with the start of a body. */
const LINES_OF_ONE_NAME = "a:b\r\n".repeat(7_800);

// Guards against heads within their limit of bytes whose lines, an object each,
// take far more.
for (const [kind, lines, rest] of [
  ["that don't end", MANY_LINES, ""],
  ["before a body", MANY_LINES, `${CHUNKED}\r\n${chunkOf("x")}`],
  ["of one name", LINES_OF_ONE_NAME, `${CHUNKED}\r\n${chunkOf("x")}`],
] as const)
  test(`heads of many lines ${kind}`, () =>
    withstand({
      ...{ route: "stream", callers: MANY_CALLERS },
      script: (request) => {
        const head = responseHead(request, lines).slice(0, -2);
        request.socket.write(`${head}${rest}`);
      },
    }));
