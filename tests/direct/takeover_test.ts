/** When the response of a second server may replace the first one's. */

import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import type { Route } from "../../src/routing/mod.ts";
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

const OBJECTIVE_MS = 200;
/** Several times the silence after which another server is looked for. */
const SILENCE_MS = OBJECTIVE_MS * 5;
const FIRST_EVENT = "id: 1\ndata: a\n\n";
const SECOND_EVENT = "id: 2\ndata: b\n\n";
/** More than a response that is buffered until it is complete. */
const FORWARDED_BYTES = 70_000;
const WHOLE_BYTES = 80_000;

let fixture: RouterFixture;

afterEach(async () => {
  await fixture.close();
});

async function start(first: Script, then: Script, route: Partial<Route>) {
  let count = 0;
  const script: Script = (received) => {
    count += 1;
    (count === 1 ? first : then)(received);
  };
  const routes = [createRoute({ ...route, objectiveMs: OBJECTIVE_MS })];
  fixture = await createRouterFixture({
    configuration: createConfiguration({ routes }),
    scripts: [script, script],
  });
}

const RESUMABLE = { streaming: true, repetition: "resumable" } as const;

/** Returns what was received, up to the end or an error. */
async function call(): Promise<{ text: string; isComplete: boolean }> {
  const response = await request(`http://127.0.0.1:${fixture.port}/lookup/1`, {
    headers: {
      host: "desk.example",
      "x-attempt-id": "id",
      "x-deadline-ms": "3000",
    },
  });
  let text = "";
  try {
    for await (const chunk of response.body) text += chunk;
  } catch {
    return { text, isComplete: false };
  }
  return { text, isComplete: true };
}

async function goOnAfterSilence(received: ReceivedRequest): Promise<void> {
  startStream(received, FIRST_EVENT);
  await delay(SILENCE_MS);
  writeChunk(received, SECOND_EVENT);
  endStream(received);
}

function startWithoutEvents(received: ReceivedRequest): void {
  const head = `HTTP/1.1 200 OK\r\n${serverHeaders(received)}`;
  received.socket.write(`${head}Transfer-Encoding: chunked\r\n\r\n`);
}

async function startAndBreak(received: ReceivedRequest): Promise<void> {
  startWithoutEvents(received);
  await delay(OBJECTIVE_MS / 4);
  received.socket.resetAndDestroy();
}

function startLargeBody(received: ReceivedRequest, bytes: string): void {
  const head = `HTTP/1.1 200 OK\r\n${serverHeaders(received)}`;
  received.socket.write(`${head}Content-Length: ${WHOLE_BYTES}\r\n\r\n`);
  received.socket.write(bytes);
}

function respondWithOtherBody(received: ReceivedRequest): void {
  startLargeBody(received, "y".repeat(WHOLE_BYTES));
}

const WHOLE = { text: FIRST_EVENT + SECOND_EVENT, isComplete: true };

test("a silent stream isn't cut when the other server breaks off before its first event", async () => {
  await start(goOnAfterSilence, startAndBreak, RESUMABLE);
  assert.deepEqual(await call(), WHOLE);
});

test("a silent stream isn't cut when the other server sends headers and no event", async () => {
  await start(goOnAfterSilence, startWithoutEvents, RESUMABLE);
  assert.deepEqual(await call(), WHOLE);
});

test("a body of which a part was forwarded isn't continued with another server's after a reset", async () => {
  const breakOff = async (received: ReceivedRequest) => {
    startLargeBody(received, "x".repeat(FORWARDED_BYTES));
    await delay(OBJECTIVE_MS / 4);
    received.socket.resetAndDestroy();
  };
  await start(breakOff, respondWithOtherBody, {});
  const { text, isComplete } = await call();
  assert.ok(
    !isComplete || !text.includes("y"),
    "Bodies of two runs are joined",
  );
});

test("a body of which a part was forwarded isn't continued with another server's after a silence", async () => {
  const goOn = async (received: ReceivedRequest) => {
    startLargeBody(received, "x".repeat(FORWARDED_BYTES));
    await delay(SILENCE_MS);
    received.socket.write("x".repeat(WHOLE_BYTES - FORWARDED_BYTES));
  };
  await start(goOn, respondWithOtherBody, {});
  const { text, isComplete } = await call();
  assert.ok(isComplete, "The response of the silent server was cut");
  assert.ok(!text.includes("y"), "Bodies of two runs are joined");
});

/** Starts a response that is no event stream, on a route of streams. */
function startOther(
  received: ReceivedRequest,
  status: string,
  framing: string,
) {
  const head = `HTTP/1.1 ${status}\r\n${serverHeaders(received)}`;
  const type = "Content-Type: application/json\r\n";
  received.socket.write(`${head}${type}${framing}`);
}

const UNKNOWN_MODEL = '{"error": "unknown model"}';
const CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
const otherStarts = [
  ["a 404 in chunks", "404 No", `${CHUNKED}8\r\n{"error"\r\n`],
  ["a 404 with a length", "404 No", 'Content-Length: 26\r\n\r\n{"error"'],
  ["a 404 without a length", "404 No", '\r\n{"error"'],
  ["a 200 of another type", "200 OK", `${CHUNKED}8\r\n{"error"\r\n`],
] as const;

const DEADLINE = { "x-deadline-ms": "3000" };

function streamBothEvents(received: ReceivedRequest): void {
  startStream(received, FIRST_EVENT + SECOND_EVENT);
  endStream(received);
}

// Guards against a stream of another server that is appended to a failure.
for (const [what, status, framing] of otherStarts) {
  test(`${what} that breaks off isn't continued with a stream`, async () => {
    const breakOff = async (received: ReceivedRequest) => {
      startOther(received, status, framing);
      await delay(OBJECTIVE_MS / 4);
      received.socket.resetAndDestroy();
    };
    await start(breakOff, streamBothEvents, RESUMABLE);
    const { text, end } = await callRaw(fixture.port, { headers: DEADLINE });
    assert.match(text, /\{"error"\s*$/);
    assert.equal(end, "reset");
  });

  test(`${what} that falls silent isn't continued with a stream`, async () => {
    const fallSilent = (received: ReceivedRequest) =>
      startOther(received, status, framing);
    await start(fallSilent, streamBothEvents, RESUMABLE);
    const { text, end } = await callRaw(fixture.port, { headers: DEADLINE });
    assert.match(text, /\{"error"\s*$/);
    assert.equal(end, "reset");
  });
}

test("a 404 that comes after a silence is whole beside a stream", async () => {
  const respondLate = async (received: ReceivedRequest) => {
    await delay(SILENCE_MS);
    startOther(received, "404 No", "Content-Length: 26\r\n\r\n");
    received.socket.write(UNKNOWN_MODEL);
  };
  const streamLater = async (received: ReceivedRequest) => {
    await delay(SILENCE_MS);
    streamBothEvents(received);
  };
  await start(respondLate, streamLater, RESUMABLE);
  const { text, isComplete } = await call();
  assert.deepEqual([text, isComplete], [UNKNOWN_MODEL, true]);
});

/** Sends the head of a stream with a length, and its first part. */
function startWithLength(
  received: ReceivedRequest,
  { length, part }: { readonly length: number; readonly part: string },
): void {
  const head = `HTTP/1.1 200 OK\r\n${serverHeaders(received)}`;
  const type = "Content-Type: text/event-stream\r\n";
  received.socket.write(
    `${head}${type}Content-Length: ${length}\r\n\r\n${part}`,
  );
}

const WHOLE_STREAM = FIRST_EVENT + SECOND_EVENT;
const rests = [
  ["longer", `${SECOND_EVENT.trimEnd()} and so on\n\n`],
  ["shorter", "id: 2\n\n"],
  ["equally long", SECOND_EVENT],
] as const;

// Guards against streams that look complete early, or never end, since they keep
// the length that their first server announced.
for (const [kind, rest] of rests) {
  const goOn = (received: ReceivedRequest) =>
    startWithLength(received, { length: rest.length, part: rest });

  test(`a stream with a length that breaks off goes on with a ${kind} rest`, async () => {
    const breakOff = async (received: ReceivedRequest) => {
      const { length } = WHOLE_STREAM;
      startWithLength(received, { length, part: `${FIRST_EVENT}id: 2\nda` });
      await delay(OBJECTIVE_MS / 4);
      received.socket.resetAndDestroy();
    };
    await start(breakOff, goOn, RESUMABLE);
    const expected = { text: FIRST_EVENT + rest, isComplete: true };
    assert.deepEqual(await call(), expected);
  });

  test(`a stream with a length that falls silent goes on with a ${kind} rest`, async () => {
    const fallSilent = (received: ReceivedRequest) => {
      const { length } = WHOLE_STREAM;
      startWithLength(received, { length, part: FIRST_EVENT });
    };
    await start(fallSilent, goOn, RESUMABLE);
    const expected = { text: FIRST_EVENT + rest, isComplete: true };
    assert.deepEqual(await call(), expected);
  });
}

test("a stream with a length whose rest breaks off, too, is not complete", async () => {
  const breakOff = async (received: ReceivedRequest) => {
    const { length } = WHOLE_STREAM;
    startWithLength(received, { length, part: FIRST_EVENT });
    await delay(OBJECTIVE_MS / 4);
    received.socket.resetAndDestroy();
  };
  const breakOffAgain = async (received: ReceivedRequest) => {
    startWithLength(received, { length: 100, part: SECOND_EVENT });
    await delay(OBJECTIVE_MS / 4);
    received.socket.resetAndDestroy();
  };
  await start(breakOff, breakOffAgain, RESUMABLE);
  assert.equal((await call()).isComplete, false);
});

test("a stream that can't be resumed keeps its length", async () => {
  const stream = (received: ReceivedRequest) => {
    const { length } = WHOLE_STREAM;
    startWithLength(received, { length, part: WHOLE_STREAM });
  };
  await start(stream, stream, {
    streaming: true,
    repetition: "non-idempotent",
  });
  const { text } = await callRaw(fixture.port, {
    headers: { connection: "close" },
  });
  assert.match(text, new RegExp(`content-length: ${WHOLE_STREAM.length}`, "i"));
});
