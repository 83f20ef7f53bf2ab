/**
 * Streams whose server stops within an event, which it has sent together with
 * the ends of others: a stream that goes on must go on after these.
 */

import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import type {
  ReceivedRequest,
  Script,
} from "../../stand_ins/scripted_server.ts";
import { createConfiguration, createRoute } from "../support/routes.ts";
import {
  createRouterFixture,
  endStream,
  type RouterFixture,
  serverHeaders,
  startStream,
  writeChunk,
} from "./fixture.ts";
import { callRaw } from "./raw_caller.ts";

const EVENTS = 6;
/** Time after which another part of a stream is read by itself. */
const PAUSE_MS = 30;
/** Longer than the longest event that a router takes (1 MiB). */
const LONG_EVENT_BYTES = 1024 * 1024 + 1;
/** A fifth of it may be held: room for a request, and not for the next event. */
const MEMORY_MB = 0.5;
const UNHELD_BYTES = 60_000;
const NO_MEMORY = "in an event for which there is no memory";
const IDS = Array.from({ length: EVENTS }, (_, index) => index + 1);

let fixture: RouterFixture;

afterEach(async () => {
  await fixture.close();
});

function eventOf(id: number): string {
  return `id: ${id}\ndata: ${id}\n\n`;
}

function eventsOf(ids: readonly number[]): string {
  return ids.map(eventOf).join("");
}

/** How a server sends the rest of a stream, and stops within it. */
type Ending = (request: ReceivedRequest, rest: string) => void | Promise<void>;

const START = eventsOf(IDS.slice(0, 3));
const REST = `${eventsOf(IDS.slice(3, 5))}id: 6\nda`;

function startUnframed(request: ReceivedRequest, lines = ""): void {
  const head = `HTTP/1.1 200 OK\r\n${serverHeaders(request)}${lines}`;
  const type = "Content-Type: text/event-stream\r\n\r\n";
  request.socket.write(`${head}${type}${START}`);
}

async function sendChunk(
  request: ReceivedRequest,
  rest: string,
): Promise<void> {
  startStream(request, START);
  await delay(PAUSE_MS);
  writeChunk(request, rest);
}

const endings: Readonly<Record<string, Ending>> = {
  "at its length": async (request, rest) => {
    const length = START.length + rest.length;
    startUnframed(request, `Content-Length: ${length}\r\n`);
    await delay(PAUSE_MS);
    request.socket.write(rest);
  },
  "before its length, by a reset": async (request, rest) => {
    startUnframed(request, "Content-Length: 10000\r\n");
    await delay(PAUSE_MS);
    request.socket.write(rest);
    request.socket.resetAndDestroy();
  },
  "before its length, by a close": async (request, rest) => {
    startUnframed(request, "Content-Length: 10000\r\n");
    await delay(PAUSE_MS);
    request.socket.end(rest);
  },
  "at its last chunk": async (request, rest) => {
    await sendChunk(request, rest);
    endStream(request);
  },
  "within its chunks, by a reset": async (request, rest) => {
    await sendChunk(request, rest);
    request.socket.resetAndDestroy();
  },
  "within its chunks, by a close": async (request, rest) => {
    await sendChunk(request, rest);
    request.socket.end();
  },
  "without a length, by a reset": async (request, rest) => {
    startUnframed(request);
    await delay(PAUSE_MS);
    request.socket.write(rest);
    request.socket.resetAndDestroy();
  },
  "without a length, by a close": async (request, rest) => {
    startUnframed(request);
    await delay(PAUSE_MS);
    request.socket.end(rest);
  },
  "in an event over the limit": (request, rest) =>
    sendChunk(request, rest + "x".repeat(LONG_EVENT_BYTES)),
  "in an event over the limit, with a length": async (request, rest) => {
    startUnframed(request, `Content-Length: ${2 * LONG_EVENT_BYTES}\r\n`);
    await delay(PAUSE_MS);
    request.socket.write(rest + "x".repeat(LONG_EVENT_BYTES));
  },
  "in an event over the limit, without a length": async (request, rest) => {
    startUnframed(request);
    await delay(PAUSE_MS);
    request.socket.write(rest + "x".repeat(LONG_EVENT_BYTES));
  },
  [NO_MEMORY]: (request, rest) =>
    sendChunk(request, rest + "x".repeat(UNHELD_BYTES)),
};

/** Sends all events after the one that the request names. */
function goOn(request: ReceivedRequest): void {
  const after = Number(request.headers["last-event-id"] ?? 0);
  const text = eventsOf(IDS.slice(after));
  const head = `HTTP/1.1 200 OK\r\n${serverHeaders(request)}`;
  const type = "Content-Type: text/event-stream\r\n";
  const length = `Content-Length: ${text.length}\r\n\r\n`;
  request.socket.write(`${head}${type}${length}${text}`);
}

async function start(where: string, maxAttempts: number): Promise<void> {
  const ending = endings[where] ?? assert.fail(where);
  const beginning: Script = (request) => void ending(request, REST);
  const options = where === NO_MEMORY ? { memoryMb: MEMORY_MB } : {};
  await startServers([beginning, goOn], { maxAttempts, ...options });
}

/** Starts servers that answer the requests in turn; the last one those that follow. */
async function startServers(
  answers: readonly Script[],
  {
    maxAttempts,
    ...options
  }: { readonly maxAttempts: number; readonly memoryMb?: number },
): Promise<void> {
  let received = 0;
  const script: Script = (request) => {
    answers[Math.min(received, answers.length - 1)]?.(request);
    received += 1;
  };
  const route = createRoute({
    ...{ streaming: true, repetition: "resumable", maxAttempts },
  });
  const configuration = createConfiguration({ routes: [route] });
  const scripts = answers.map(() => script);
  fixture = await createRouterFixture({ configuration, scripts, ...options });
}

/** Ids of the events that a caller gets, and whether its stream has ended. */
async function call(
  headers: Record<string, string> = {},
): Promise<{ ids: number[]; isEnded: boolean }> {
  const { text, end } = await callRaw(fixture.port, {
    headers: { connection: "close", ...headers },
  });
  const ids = [...text.matchAll(/^id: (\d+)\ndata: \d+$/gm)];
  // All streams of the router are chunked, unless they end with the connection.
  const isChunked = /^transfer-encoding: chunked/im.test(text);
  const isWhole = isChunked ? text.endsWith("\r\n0\r\n\r\n") : true;
  return {
    ids: ids.map(([, id]) => Number(id)),
    isEnded: end === "closed" && isWhole,
  };
}

// Guards against complete events that are counted as sent and aren't, because
// the router breaks off the response before it writes them.
for (const where of Object.keys(endings)) {
  test(`a stream that stops ${where} goes on without a gap`, async () => {
    await start(where, 2);
    assert.deepEqual(await call(), { ids: IDS, isEnded: true });
  });

  test(`a caller takes up a stream that stops ${where}`, async () => {
    await start(where, 1);
    const first = await call();
    assert.equal(first.isEnded, false);
    assert.deepEqual(first.ids, IDS.slice(0, first.ids.length));
    assert.ok(first.ids.length >= 3);
    const lastId = String(first.ids.at(-1));
    const rest = await call({
      ...{ "x-attempt-id": "id-2", "last-event-id": lastId, resumes: "id" },
    });
    assert.deepEqual([...first.ids, ...rest.ids], IDS);
  });
}

// Guards against progress that counts the events of one server only.
test("a stream that stops at two servers in turn goes on without a gap", async () => {
  const sendTwoAndBreak = async (request: ReceivedRequest) => {
    const after = Number(request.headers["last-event-id"] ?? 0);
    startStream(request, eventsOf(IDS.slice(after, after + 2)));
    await delay(PAUSE_MS);
    request.socket.resetAndDestroy();
  };
  await startServers([sendTwoAndBreak, sendTwoAndBreak, goOn], {
    maxAttempts: 3,
  });
  assert.deepEqual(await call(), { ids: IDS, isEnded: true });
  const resumed = fixture.servers.flatMap(({ requests }) => requests);
  const lastIds = resumed.map(({ headers }) => headers["last-event-id"]);
  assert.deepEqual(lastIds.sort(), ["2", "4", undefined]);
});
