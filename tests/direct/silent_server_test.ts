/** Backend servers that send nothing for a while, and then go on or don't. */

import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import type {
  ReceivedRequest,
  Script,
} from "../../stand_ins/scripted_server.ts";
import { until } from "../../tools/fleet/until.ts";
import { createConfiguration, createRoute } from "../support/routes.ts";
import {
  createRouterFixture,
  endStream,
  neverRespond,
  type RouterFixture,
  respondCompletely,
  startStream,
  writeChunk,
} from "./fixture.ts";

const TIMEOUT_MS = 10_000;
const OBJECTIVE_MS = 200;
/** Several times the silence after which another server is looked for. */
const SILENCE_MS = OBJECTIVE_MS * 5;
const DEADLINE_MS = 4_000;
const FIRST_EVENT = "id: 1\ndata: a\n\n";
const SECOND_EVENT = "id: 2\ndata: b\n\n";

let fixture: RouterFixture;

afterEach(async () => {
  await fixture.close();
});

async function start(
  scripts: readonly Script[],
  {
    streaming = true,
    objectiveMs = OBJECTIVE_MS,
  }: { readonly streaming?: boolean; readonly objectiveMs?: number } = {},
): Promise<void> {
  const repetition = streaming ? "resumable" : "idempotent";
  const route = { streaming, repetition, objectiveMs } as const;
  const configuration = createConfiguration({ routes: [createRoute(route)] });
  fixture = await createRouterFixture({ configuration, scripts });
}

async function call(path = "/lookup/1") {
  const response = await request(`http://127.0.0.1:${fixture.port}${path}`, {
    headers: {
      host: "desk.example",
      "x-attempt-id": "id",
      "x-deadline-ms": String(DEADLINE_MS),
    },
  });
  const text = await response.body.text();
  return { status: response.statusCode, text };
}

/** Runs the first script for the first request of all servers. */
function firstThen(first: Script, then: Script): Script {
  let count = 0;
  return (received) => {
    count += 1;
    (count === 1 ? first : then)(received);
  };
}

async function goOnAfterSilence(received: ReceivedRequest): Promise<void> {
  startStream(received, FIRST_EVENT);
  await delay(SILENCE_MS);
  writeChunk(received, SECOND_EVENT);
  endStream(received);
}

async function beginAfterSilence(received: ReceivedRequest): Promise<void> {
  await delay(SILENCE_MS);
  startStream(received, FIRST_EVENT + SECOND_EVENT);
  endStream(received);
}

function startOnly(received: ReceivedRequest): void {
  startStream(received, FIRST_EVENT);
}

function endAtOnce(received: ReceivedRequest): void {
  startStream(received, SECOND_EVENT);
  endStream(received);
}

function refuseAsFull({ socket }: ReceivedRequest): void {
  const head = "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n";
  socket.write(`${head}Content-Length: 0\r\n\r\n`);
}

function truncateBody({ socket }: ReceivedRequest): void {
  socket.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
  socket.end();
}

const WHOLE = { status: 200, text: FIRST_EVENT + SECOND_EVENT };

const arrivals = () => fixture.servers.flatMap(({ requests }) => requests);

test("a stream isn't cut when its server is silent and no other is free", async () => {
  await start([goOnAfterSilence]);
  assert.deepEqual(await call(), WHOLE);
});

test("a stream isn't refused when its server begins late and no other is free", async () => {
  await start([beginAfterSilence]);
  assert.deepEqual(await call(), WHOLE);
});

test("a lookup isn't failed when its server is silent and no other is free", async () => {
  await start(
    [(received) => delay(SILENCE_MS).then(() => respondCompletely(received))],
    {
      streaming: false,
    },
  );
  assert.deepEqual(await call(), { status: 200, text: "fine" });
});

test("a silent stream isn't cut when the other server refuses it", async () => {
  const script = firstThen(goOnAfterSilence, refuseAsFull);
  await start([script, script]);
  assert.deepEqual(await call(), WHOLE);
  assert.equal(arrivals().length, 2);
});

test("a silent stream isn't cut when the other server's response breaks", async () => {
  const script = firstThen(goOnAfterSilence, truncateBody);
  await start([script, script]);
  assert.deepEqual(await call(), WHOLE);
});

test("a silent stream goes on while the other server hasn't begun", async () => {
  const script = firstThen(goOnAfterSilence, neverRespond);
  await start([script, script]);
  assert.deepEqual(await call(), WHOLE);
  const closed = () =>
    fixture.servers.reduce((sum, server) => sum + server.closed, 0);
  await until("the send to the other server is cancelled", TIMEOUT_MS, {
    holds: () => closed() === 1,
  });
});

test("another server resumes the stream of one that stays silent", async () => {
  const script = firstThen(startOnly, endAtOnce);
  await start([script, script]);
  assert.deepEqual(await call(), WHOLE);
  const resumptions = arrivals().map(({ headers }) => headers["last-event-id"]);
  assert.deepEqual(resumptions.toSorted(), ["1", undefined]);
  const silent = fixture.servers.find(
    ({ requests }) => requests[0]?.headers["last-event-id"] === undefined,
  );
  await until("the silent server is cut off", TIMEOUT_MS, {
    holds: () => silent?.closed === 1,
  });
});

test("another server resumes the stream of one that sends parts of an event", async () => {
  const drip = (received: ReceivedRequest) => {
    startOnly(received);
    const timer = setInterval(() => {
      if (received.socket.destroyed) clearInterval(timer);
      else writeChunk(received, "d");
    }, OBJECTIVE_MS / 4);
  };
  const script = firstThen(drip, endAtOnce);
  await start([script, script]);
  const startedMs = performance.now();
  assert.deepEqual(await call(), WHOLE);
  assert.equal(arrivals().length, 2);
  assert.ok(performance.now() - startedMs < DEADLINE_MS / 2);
});

test("a stream with long pauses isn't cut while another server is free", async () => {
  const goOnSlowly = async (received: ReceivedRequest) => {
    startStream(received, FIRST_EVENT);
    await delay(OBJECTIVE_MS * 2);
    writeChunk(received, "id: 2\nda");
    await delay(OBJECTIVE_MS * 2);
    writeChunk(received, "ta: b\n\n");
    endStream(received);
  };
  const script = firstThen(goOnSlowly, neverRespond);
  await start([script, script]);
  assert.deepEqual(await call(), WHOLE);
});

test("another server answers the lookup of one that stays silent", async () => {
  const script = firstThen(neverRespond, respondCompletely);
  await start([script, script], { streaming: false });
  assert.deepEqual(await call(), { status: 200, text: "fine" });
});

test("a broken response is awaited from the server that is trying already", async () => {
  const breakOff = async (received: ReceivedRequest) => {
    startStream(received, FIRST_EVENT);
    await delay(SILENCE_MS);
    received.socket.resetAndDestroy();
  };
  const resumeLate = async (received: ReceivedRequest) => {
    await delay(SILENCE_MS);
    endAtOnce(received);
  };
  const script = firstThen(breakOff, resumeLate);
  await start([script, script]);
  assert.deepEqual(await call(), WHOLE);
  assert.equal(arrivals().length, 2);
});

test("a request whose server is silent takes no place from new requests", async () => {
  const running: ReceivedRequest[] = [];
  const script: Script = (received) => running.push(received);
  // A request may wait for 600 ms of this, a hedge for 100 ms.
  const objectiveMs = 1_000;
  await start([script, script], { streaming: false, objectiveMs });
  const calls = [call(), call(), call(), call()];
  await until("all places are taken", TIMEOUT_MS, {
    holds: () => running.length === calls.length,
  });
  const { router } = fixture;
  const isWaiting = () => router.waiting > 0;
  await until("other servers are tried", TIMEOUT_MS, { holds: isWaiting });
  await delay(200);
  const fresh = call("/lookup/new");
  await until("a new request waits", TIMEOUT_MS, { holds: isWaiting });
  respondCompletely(running[0] as ReceivedRequest);
  await until("one more runs", TIMEOUT_MS, {
    holds: () => running.length > calls.length,
  });
  assert.equal(running.at(-1)?.path, "/lookup/new");
  for (const received of running.slice(1)) respondCompletely(received);
  assert.equal((await fresh).status, 200);
  await Promise.all(calls);
});
