/**
 * A router process that ends without running any of its code while responses
 * pass through it whose end is marked by that of their connection. The kernel
 * closes its connections in order, which would make these responses look whole.
 */

import assert from "node:assert/strict";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { connect } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { errorAtEnd } from "../../src/common/connection_end.ts";
import type {
  ReceivedRequest,
  Script,
} from "../../stand_ins/scripted_server.ts";
import { until } from "../../tools/fleet/until.ts";
import { serverHeaders } from "../direct/fixture.ts";
import {
  eventsOf,
  ProgramFleet,
  type ProgramOptions,
  type RunningRouter,
} from "./program_fixture.ts";
import {
  createWireConfiguration,
  createWireRoute,
} from "./wire_configuration.ts";

const TIMEOUT_MS = 10_000;
/** More than a router buffers of a response that it may send again. */
const ONE_EVENT = `id: 1\ndata: ${"a".repeat(300_000)}\n\n`;
const STREAMS = 8;
const SERVERS = 4;
/** More than the kernel's buffers of all connections on the way. */
const LARGE_BYTES = 24 * 1_024 * 1_024;

/** How a server frames its response. */
type Framing = "until-close" | "chunks";
type HttpVersion = "1.0" | "1.1";

const SIGNALS = ["SIGKILL", "SIGABRT", "SIGSEGV"] as const;
const ROUTES = {
  ticket: { kind: "non_idempotent" },
  lookup: { kind: "idempotent" },
  stream: { kind: "streaming" },
  resumable: { kind: "streaming", streamResume: true, gapTargetMs: 5_000 },
} as const;

type RouteName = keyof typeof ROUTES;

let fleet: ProgramFleet;
let router: RunningRouter;

afterEach(() => fleet.close());

async function start(
  script: Script,
  options: ProgramOptions = {},
): Promise<void> {
  const routes = Object.entries(ROUTES).map(([name, route]) =>
    createWireRoute({
      ...{ name, pathPrefix: `/${name}/`, service: "n", timeoutMs: 30_000 },
      ...{ authExempt: true, ...route },
    }),
  );
  fleet = await ProgramFleet.start({
    configuration: createWireConfiguration({ routes }),
  });
  for (let added = 0; added < SERVERS; added += 1)
    await fleet.addServer(script, { slots: 64 });
  router = await fleet.startRouter(options);
}

function writeHead(request: ReceivedRequest, framing: Framing): void {
  const chunks =
    framing === "chunks" ? "Transfer-Encoding: chunked\r\n" : "X-No: 0\r\n";
  const type = "Content-Type: text/event-stream\r\n";
  request.socket.write(
    `HTTP/1.1 200 OK\r\n${serverHeaders(request)}${type}${chunks}\r\n`,
  );
}

/** Sends one event of a response that doesn't end. */
function startEndless(framing: Framing): Script {
  return (request) => {
    writeHead(request, framing);
    const isChunk = framing === "chunks";
    const size = ONE_EVENT.length.toString(16);
    request.socket.write(isChunk ? `${size}\r\n${ONE_EVENT}\r\n` : ONE_EVENT);
  };
}

/** A caller's view of one response. */
interface Reading {
  text: string;
  end: "open" | "closed" | "reset";
}

let lastId = 0;

function read(
  route: RouteName,
  version: HttpVersion = "1.1",
  { pauseMs = 0 }: { readonly pauseMs?: number } = {},
): Reading {
  lastId += 1;
  const reading: Reading = { text: "", end: "open" };
  const socket = connect(router.port, "127.0.0.1");
  const lines = [
    `GET /${route}/x HTTP/${version}`,
    ...["Host: desk.example", `X-Attempt-Id: id-${lastId}`],
    ...["X-Deadline-Ms: 30000", "", ""],
  ];
  socket.write(lines.join("\r\n"));
  socket.on("data", async (bytes) => {
    reading.text += bytes.toString("latin1");
    if (pauseMs === 0) return;
    socket.pause();
    await delay(pauseMs);
    socket.resume();
  });
  socket.prependListener("end", () => {
    reading.end = errorAtEnd(socket) === null ? "closed" : "reset";
  });
  socket.on("error", () => {
    reading.end = "reset";
  });
  return reading;
}

const readers = [
  ["until-close", "1.1"],
  ["until-close", "1.0"],
  ["chunks", "1.0"],
] as const;

for (const [framing, version] of readers) {
  for (const signal of SIGNALS) {
    const what = `${framing} to an HTTP/${version} caller`;
    test(`responses ${what} are reset by ${signal}`, async () => {
      await start(startEndless(framing));
      const names = Object.keys(ROUTES) as RouteName[];
      const readings = Array.from({ length: STREAMS }, (_, index) =>
        read(names[index % names.length] ?? "stream", version),
      );
      await until("the responses begin", TIMEOUT_MS, {
        holds: () => readings.every(({ text }) => text.includes(ONE_EVENT)),
      });
      const ended = once(router.process, "exit");
      router.process.kill(signal);
      await ended;
      await until("the connections end", TIMEOUT_MS, {
        holds: () => readings.every(({ end }) => end !== "open"),
      });
      const closed = readings.filter(({ end }) => end === "closed");
      assert.deepEqual(closed, []);
    });
  }

  test(`a large response ${framing} to a slow HTTP/${version} caller is whole`, async () => {
    const piece = Buffer.alloc(65_536, "x");
    await start(async (request) => {
      writeHead(request, framing);
      for (let sent = 0; sent < LARGE_BYTES; sent += piece.length) {
        const isChunk = framing === "chunks";
        if (isChunk) request.socket.write(`${piece.length.toString(16)}\r\n`);
        const isTaken = request.socket.write(piece);
        if (isChunk) request.socket.write("\r\n");
        if (!isTaken) await once(request.socket, "drain");
      }
      if (framing === "chunks") request.socket.write("0\r\n\r\n");
      else request.socket.end();
    });
    const reading = read("ticket", version, { pauseMs: 3 });
    await until("the response ends", 3 * TIMEOUT_MS, {
      holds: () => reading.end !== "open",
    });
    assert.equal(reading.end, "closed");
    const bodyAt = reading.text.indexOf("\r\n\r\n") + 4;
    assert.equal(reading.text.length - bodyAt, LARGE_BYTES);
  });
}

test("a router serves without the library that resets connections", async () => {
  const folder = await mkdtemp(join(tmpdir(), "no-library-"));
  const path = join(folder, "no_koffi.cjs");
  await writeFile(
    path,
    `const module_ = require("node:module");
const load = module_._load;
module_._load = (name, ...rest) => {
  if (name === "koffi") throw new Error("No library");
  return load(name, ...rest);
};
`,
  );
  await start(startEndless("until-close"), { nodeFlags: ["--require", path] });
  await rm(folder, { recursive: true });
  assert.deepEqual(
    eventsOf(router, "no-connection-reset").map(({ reason }) => reason),
    ["No library"],
  );
  const reading = read("stream");
  await until("the response begins", TIMEOUT_MS, {
    holds: () => reading.text.includes(ONE_EVENT),
  });
});
