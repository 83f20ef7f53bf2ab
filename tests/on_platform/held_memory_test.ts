/**
 * Crowds of connections that make a process hold what they send: bodies and
 * heads that don't end, pipelined requests, responses that aren't read. The
 * process must live, stay within its machine's memory and descriptors, and
 * answer an ordinary request while the crowd is there and afterwards. The tests
 * of this file run one after the other; other load only makes them slower.
 */

import assert from "node:assert/strict";
import { once } from "node:events";
import { afterEach, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import type { Script } from "../../stand_ins/scripted_server.ts";
import { until } from "../../tools/fleet/until.ts";
import { writeEndlessly } from "../direct/fixture.ts";
import { connectCaller } from "../direct/raw_caller.ts";
import { Crowd, type CrowdOptions } from "../support/crowd.ts";
import {
  openDescriptors,
  peakResidentBytes,
  unreadBytes,
} from "../support/process_memory.ts";
import {
  type Program,
  ProgramFleet,
  type RunningRouter,
  readiness,
  respondWith,
} from "./program_fixture.ts";
import {
  createWireConfiguration,
  createWireRoute,
} from "./wire_configuration.ts";

const TIMEOUT_MS = 60_000;
/** The smallest machine of the deployments, with few descriptors. */
const MACHINE = { memoryMb: 210, maxFds: 400 };
const MEMORY_BOUND_BYTES = 210 * 1_000_000;
const READ_CHECK_INTERVAL_MS = 1_000;
/** Checks after which a process is taken to read no more. */
const UNCHANGED_CHECKS = 5;
const NODE_FLAGS = ["--max-old-space-size=64"];
const BODY_LIMIT_BYTES = 4 * 1_024 * 1_024;
/** Connections whose bodies don't end: 480 MB in all. */
const UPLOADS = 120;
/** One-byte chunks of each: 24 MB on the wire in all, 4 MB of bodies. */
const SMALL_CHUNKS = 32_768;
/** More connections than the machine has descriptors. */
const HEADS = 400;
const PIPELINING_CONNECTIONS = 40;
const PIPELINED_REQUESTS = 1_000;
const LARGE_CHUNK_BYTES = 65_536;
const SMALL_CHUNK_BYTES = 32;
/** Handshakes that announce a frame of nearly 16 MB each. */
const PEERS = 20;
const FRAME_BYTES = 16 * 1_000_000;

let fleet: ProgramFleet;
let router: RunningRouter;
let crowd: Crowd | null = null;

afterEach(async () => {
  crowd?.close();
  crowd = null;
  await fleet.close();
});

const respond = respondWith();
/** Answers `/n/` at once, `/n/endless` without end, and `/n/never` never. */
const script: Script = (received) => {
  if (received.path.startsWith("/n/never")) return;
  if (!received.path.startsWith("/n/endless")) return respond(received);
  const { "x-attempt-id": id } = received.headers;
  const head = `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nX-Response-Seal: s\r\n`;
  const start = `${head}Content-Length: 1000000000\r\n\r\n`;
  writeEndlessly(received, { start, piece: "x" });
};

async function startRouter(): Promise<void> {
  const plain = { service: "n", timeoutMs: 30_000, targetLatencyMs: 5_000 };
  fleet = await ProgramFleet.start({
    configuration: createWireConfiguration({
      routes: [
        createWireRoute({ ...plain, name: "s", pathPrefix: "/s/" }),
        createWireRoute({
          ...{ ...plain, name: "n", pathPrefix: "/n/", kind: "idempotent" },
        }),
      ],
      limits: {
        ...{ maxHeaderBytes: 16_384, maxBodyBytes: BODY_LIMIT_BYTES },
        ...{ headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
      },
      tenants: [
        { name: "porters", apiKeys: ["k"] },
        { name: "crowd", apiKeys: ["crowd"] },
      ],
    }),
  });
  await fleet.addServer(script);
  router = await fleet.startRouter({ machine: MACHINE, nodeFlags: NODE_FLAGS });
}

/** Returns the head of a request of the crowd. */
function head(
  path: string,
  { key, lines }: { readonly key?: string; readonly lines: readonly string[] },
): string {
  const all = [
    ...[`POST ${path} HTTP/1.1`, "Host: desk.example", "X-Attempt-Id: c"],
    ...["X-Deadline-Ms: 30000", `Authorization: Token ${key ?? "crowd"}`],
    ...lines,
  ];
  return `${all.join("\r\n")}\r\n\r\n`;
}

const CHUNKED = ["Transfer-Encoding: chunked"];
const ONE_BYTE_CHUNKS = "1\r\nx\r\n".repeat(SMALL_CHUNKS);

function chunkOf(sizeBytes: number): string {
  return `${sizeBytes.toString(16)}\r\n${"x".repeat(sizeBytes)}\r\n`;
}

/** Chunks of 64 KB up to 64 bytes before the limit. */
function* largeChunks(): Iterable<string> {
  const chunk = chunkOf(LARGE_CHUNK_BYTES);
  const full = BODY_LIMIT_BYTES / LARGE_CHUNK_BYTES - 1;
  for (let sent = 0; sent < full; sent += 1) yield chunk;
  yield chunkOf(LARGE_CHUNK_BYTES - 64);
}

async function callOrdinarily(
  body: string | Buffer = "short",
): Promise<number> {
  const response = await request(`http://127.0.0.1:${router.port}/n/x`, {
    ...{ method: "POST", body, reset: true },
    headers: {
      ...{ host: "desk.example", authorization: "Token k" },
      ...{ "x-attempt-id": `o-${Math.random()}`, "x-deadline-ms": "20000" },
    },
  });
  await response.body.dump();
  return response.statusCode;
}

/** Checks that the process lives within its machine. */
async function checkHoldings(program: Program, port: number): Promise<void> {
  const { exitCode, signalCode, pid = 0 } = program.process;
  assert.deepEqual(
    { exitCode, signalCode },
    { exitCode: null, signalCode: null },
  );
  const bytes = (await peakResidentBytes(pid)) + (await unreadBytes(port));
  assert.ok(bytes < MEMORY_BOUND_BYTES, `holds ${bytes} bytes`);
  const descriptors = await openDescriptors(pid);
  assert.ok(descriptors < MACHINE.maxFds, `${descriptors} descriptors`);
}

/** Waits until a process has read what was sent, or reads no more of it. */
async function waitUntilRead(port: number): Promise<void> {
  let before = -1;
  let unchanged = 0;
  const holds = async () => {
    const unread = await unreadBytes(port);
    unchanged = unread === before ? unchanged + 1 : 0;
    before = unread;
    const required = unread === 0 ? 1 : UNCHANGED_CHECKS;
    if (unchanged >= required) return true;
    await delay(READ_CHECK_INTERVAL_MS);
    return false;
  };
  await until("what the crowd sent is read", TIMEOUT_MS, { holds });
}

async function checkOrdinaryCaller(): Promise<void> {
  // Like any caller, it tries again after a refusal or a closed connection.
  const isAnswered = async () => {
    assert.equal(router.process.exitCode, null, "the router has ended");
    assert.equal(router.process.signalCode, null, "the router has ended");
    return (await callOrdinarily().catch(() => 0)) === 200;
  };
  await until("an ordinary request is answered", TIMEOUT_MS, {
    holds: isAnswered,
  });
}

/** Plays a crowd at a new router and checks it during and after that. */
async function withstand(options: CrowdOptions): Promise<void> {
  await startRouter();
  crowd = await Crowd.open(router.port, options);
  await waitUntilRead(router.port);
  await checkHoldings(router, router.port);
  await checkOrdinaryCaller();
  await checkHoldings(router, router.port);
  crowd.close();
  await checkOrdinaryCaller();
  await checkHoldings(router, router.port);
}

function uploads(
  path: string,
  pieces: () => Iterable<string>,
  {
    key,
    lines = CHUNKED,
  }: { readonly key?: string; readonly lines?: string[] } = {},
): CrowdOptions {
  return {
    connections: UPLOADS,
    *pieces() {
      yield head(path, { ...(key === undefined ? {} : { key }), lines });
      yield* pieces();
    },
  };
}

for (const [kind, pieces] of [
  ["large chunks", largeChunks],
  ["one-byte chunks", () => [ONE_BYTE_CHUNKS]],
] as const) {
  test(`uploads in ${kind} that stop short of their end`, () =>
    withstand(uploads("/n/x", pieces)));

  test(`uploads in ${kind} that stop short, to a streaming route`, () =>
    withstand(uploads("/s/x", pieces)));

  test(`uploads in ${kind} that stop short, without a valid key`, () =>
    withstand(uploads("/n/x", pieces, { key: "unknown" })));
}

test("uploads with a length that stop short of their end", () => {
  const lines = [`Content-Length: ${BODY_LIMIT_BYTES}`];
  const piece = "x".repeat(LARGE_CHUNK_BYTES);
  const count = BODY_LIMIT_BYTES / LARGE_CHUNK_BYTES - 1;
  const pieces = () => Array<string>(count).fill(piece);
  return withstand(uploads("/n/x", pieces, { lines }));
});

test("complete uploads that wait for their responses", () =>
  withstand(
    uploads("/n/never", function* () {
      yield* largeChunks();
      yield `${chunkOf(64)}0\r\n\r\n`;
    }),
  ));

test("trailers that don't end", () =>
  withstand(
    uploads("/n/x", () => ["1\r\nx\r\n0\r\n", "a:b\r\n".repeat(12_000)]),
  ));

test("heads that don't end", () =>
  withstand({
    connections: HEADS,
    pieces: () => ["POST /n/x HTTP/1.1\r\n", "a:b\r\n".repeat(12_000)],
  }));

test("heads that don't end, to the readiness endpoint", async () => {
  await startRouter();
  crowd = await Crowd.open(router.readyPort, {
    connections: HEADS,
    pieces: () => ["GET /ready HTTP/1.1\r\n", "a:b\r\n".repeat(2_000)],
  });
  await waitUntilRead(router.readyPort);
  await checkHoldings(router, router.readyPort);
  assert.equal(await readiness(router), 200);
  await checkOrdinaryCaller();
});

test("pipelined requests whose responses don't come", () => {
  const one = head("/n/never", { lines: ["Content-Length: 0"] });
  return withstand({
    connections: PIPELINING_CONNECTIONS,
    pieces: () => [one.repeat(PIPELINED_REQUESTS)],
  });
});

test("responses that aren't read", () => {
  const one = head("/n/endless", { lines: ["Content-Length: 0"] });
  return withstand({
    connections: UPLOADS,
    pieces: () => [one.repeat(4)],
    reads: "reads-nothing",
  });
});

test("a single upload of the largest size is served in calm", async () => {
  await startRouter();
  const body = Buffer.alloc(BODY_LIMIT_BYTES, "x");
  assert.equal(await callOrdinarily(body), 200);
  await checkHoldings(router, router.port);
});

test("a single upload of the largest size in small chunks is served", async () => {
  await startRouter();
  const { socket, seen } = await connectCaller(router.port);
  const lines = [...CHUNKED, "Connection: close"];
  socket.write(head("/n/x", { key: "k", lines }));
  const chunks = chunkOf(SMALL_CHUNK_BYTES).repeat(2_048);
  const repeats = BODY_LIMIT_BYTES / SMALL_CHUNK_BYTES / 2_048;
  for (let sent = 0; sent < repeats; sent += 1) {
    if (!socket.write(chunks)) await once(socket, "drain");
  }
  socket.write("0\r\n\r\n");
  const holds = async () => seen.end !== "open";
  await until("the upload is answered", TIMEOUT_MS, { holds });
  assert.match(seen.text, /^HTTP\/1\.1 200 /);
  await checkHoldings(router, router.port);
});

test("peers that announce long messages and prove nothing", async () => {
  await startRouter();
  const admission = await fleet.startAdmission({
    ...{ machine: MACHINE, nodeFlags: NODE_FLAGS },
  });
  const length = Buffer.alloc(4);
  length.writeUInt32BE(FRAME_BYTES);
  crowd = await Crowd.open(fleet.admissionPort, {
    connections: PEERS,
    pieces: () => [length, Buffer.alloc(FRAME_BYTES - LARGE_CHUNK_BYTES)],
  });
  await waitUntilRead(fleet.admissionPort);
  await checkHoldings(admission, fleet.admissionPort);
  await checkOrdinaryCaller();
});
