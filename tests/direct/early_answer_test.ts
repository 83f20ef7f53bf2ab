/** Servers that answer a long upload before they have read it. */

import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { afterEach, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import type { Route } from "../../src/routing/mod.ts";
import {
  type ReceivedRequest,
  type Script,
  ScriptedServer,
} from "../../stand_ins/scripted_server.ts";
import { until } from "../../tools/fleet/until.ts";
import { createConfiguration, createRoute } from "../support/routes.ts";
import { type RouterFixture, serverHeaders, startRouter } from "./fixture.ts";
import { type Caller, connectCaller, requestHead } from "./raw_caller.ts";

const TIMEOUT_MS = 5_000;
const DEADLINE_MS = 2_000;
/** Much more than the kernel takes of an upload that its peer doesn't read. */
const UPLOAD_BYTES = 4_000_000;
const MEMORY_MB = 350;
/** More than a response that is buffered until it is complete. */
const LONG_BYTES = 300_000;
const SHORT_BYTES = 60;
const PAUSE_MS = 20;

let server: ScriptedServer;
let fixture: RouterFixture;
const callers: Caller[] = [];

afterEach(async () => {
  for (const { socket } of callers.splice(0)) socket.destroy();
  await fixture.close();
  server.crash();
});

async function start(script: Script, route: Partial<Route>): Promise<void> {
  server = new ScriptedServer(script, "one-head");
  await server.listen();
  const { limits } = createConfiguration();
  const configuration = createConfiguration({
    routes: [createRoute({ maxAttempts: 1, ...route })],
    limits: { ...limits, bodyBytes: UPLOAD_BYTES },
  });
  const options = { configuration, memoryMb: MEMORY_MB };
  fixture = await startRouter([server], options);
}

/** Sends an upload, and waits until its response or its connection has ended. */
async function upload(sizeBytes = UPLOAD_BYTES): Promise<Caller["seen"]> {
  const caller = await connectCaller(fixture.port);
  callers.push(caller);
  const { socket, seen } = caller;
  const lines = [`Content-Length: ${sizeBytes}`, "Connection: close"];
  socket.write(requestHead("POST", { lines, deadlineMs: DEADLINE_MS }));
  socket.write(Buffer.alloc(sizeBytes, "x"));
  const holds = async () => seen.end !== "open";
  await until("the response has ended", TIMEOUT_MS, { holds });
  return seen;
}

const ROUTES: Readonly<Record<string, Partial<Route>>> = {
  ticket: { repetition: "non-idempotent" },
  lookup: { repetition: "idempotent" },
  stream: { repetition: "non-idempotent", streaming: true },
  "resumable stream": { repetition: "resumable", streaming: true },
};

function headOf(request: ReceivedRequest, lines = ""): string {
  return `HTTP/1.1 200 OK\r\n${serverHeaders(request)}${lines}\r\n`;
}

// Guards against a connection that is used again while it still sends a body,
// whose memory is freed with its request: the next request failed with EFAULT.
test("a request after an early answer isn't sent behind its upload", async () => {
  const answer: Script = (request) =>
    request.socket.write(`${headOf(request, "Content-Length: 4\r\n")}fine`);
  await start(answer, { repetition: "non-idempotent" });
  assert.match((await upload()).text, /^HTTP\/1\.1 200 .*fine$/s);
  assert.match((await upload(1)).text, /^HTTP\/1\.1 200 .*fine$/s);
});

/** How a server ends a response that it hasn't sent whole. */
const ENDINGS: Readonly<Record<string, (socket: Socket) => unknown>> = {
  "reset at once": (socket) => socket.resetAndDestroy(),
  "reset later": (socket) =>
    delay(PAUSE_MS).then(() => socket.resetAndDestroy()),
  "closed with unread bytes": (socket) => socket.destroySoon(),
  "closed later with unread bytes": (socket) =>
    delay(PAUSE_MS).then(() => socket.destroy()),
};

/** Header lines of responses that end with their connection. */
const UNFRAMED = {
  "without a length": "",
  "with another transfer coding": "Transfer-Encoding: gzip\r\n",
};

const SIZES = { short: SHORT_BYTES, long: LONG_BYTES };

// Guards against a part of a response that looks like the whole.
for (const [kind, route] of Object.entries(ROUTES))
  for (const [framing, lines] of Object.entries(UNFRAMED))
    for (const [how, end] of Object.entries(ENDINGS))
      for (const [size, sizeBytes] of Object.entries(SIZES))
        test(`a ${size} early answer ${framing} of a ${kind} that is ${how} is broken`, async () => {
          const body = `${"x".repeat(sizeBytes - 2)}\n\n`;
          const script: Script = (request) => {
            request.socket.write(headOf(request, lines) + body);
            end(request.socket);
          };
          await start(script, route);
          const { text, end: ended } = await upload();
          const isFailure = /^HTTP\/1\.1 50\d /.test(text);
          assert.ok(
            isFailure || ended === "reset",
            `${text.slice(0, 40)} ${ended}`,
          );
        });
