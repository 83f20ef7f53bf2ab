/** How the end of a server's response looks to its caller. */

import assert from "node:assert/strict";
import { once } from "node:events";
import { afterEach, test } from "node:test";
import { Worker } from "node:worker_threads";
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
} from "./fixture.ts";
import { callRaw } from "./raw_caller.ts";

const OVER_BUFFER_LIMIT_BYTES = 200_000;
const ONE_EVENT = "id: 1\ndata: a\n\n";
const ONE_EVENT_CRLF = "id: 1\r\ndata: a\r\n\r\n";
const NOT_RESUMABLE = createRoute({
  ...{ streaming: true, repetition: "non-idempotent", maxAttempts: 1 },
});
const RESUMABLE: Route = { ...NOT_RESUMABLE, repetition: "resumable" };

let fixture: RouterFixture;

afterEach(async () => {
  await fixture.close();
});

async function start(script: Script, route: Route): Promise<void> {
  const configuration = createConfiguration({ routes: [route] });
  fixture = await createRouterFixture({ configuration, scripts: [script] });
}

/** What the caller got: all of a response, or its bytes before a reset. */
async function call() {
  // HTTP clients take the reset of a response without framing for its end.
  const { text: received, end } = await callRaw(fixture.port, {
    headers: { connection: "close" },
  });
  const bodyStart = received.indexOf("\r\n\r\n") + 4;
  const head = received.slice(0, bodyStart).toLowerCase();
  const status = Number(head.split(" ")[1]);
  const body = received.slice(bodyStart);
  const { text, isWhole } = head.includes("transfer-encoding: chunked")
    ? decodeChunks(body)
    : { text: body, isWhole: body.length >= lengthIn(head) };
  const whole = end === "closed" && isWhole;
  return { status, text, end: whole ? "whole" : "reset" };
}

function lengthIn(head: string): number {
  return Number(/content-length: (\d+)/.exec(head)?.[1] ?? 0);
}

function decodeChunks(body: string): { text: string; isWhole: boolean } {
  let text = "";
  let rest = body;
  for (;;) {
    const [, digits = ""] = /^([0-9a-f]+)\r\n/i.exec(rest) ?? [];
    const length = Number.parseInt(digits, 16);
    if (!(length > 0)) return { text, isWhole: length === 0 };
    const start = digits.length + 2;
    text += rest.slice(start, start + length);
    rest = rest.slice(start + length + 2);
  }
}

function startUnframed(request: ReceivedRequest, start = ""): void {
  const head = `HTTP/1.1 200 OK\r\n${serverHeaders(request)}`;
  const type = "Content-Type: text/event-stream\r\n\r\n";
  request.socket.write(`${head}${type}${start}`);
}

/** Sends the pieces one after the other, then closes the connection. */
function streamUnframed(...pieces: string[]): Script {
  return (request) => {
    startUnframed(request);
    for (const [index, piece] of pieces.entries())
      setTimeout(() => request.socket.write(piece), 20 * (index + 1));
    setTimeout(() => request.socket.end(), 20 * (pieces.length + 1));
  };
}

test("an unframed response that breaks off is not complete", async () => {
  const script: Script = (request) => {
    const head = `HTTP/1.1 200 OK\r\n${serverHeaders(request)}`;
    request.socket.write(`${head}\r\n${"x".repeat(OVER_BUFFER_LIMIT_BYTES)}`);
    setTimeout(() => request.socket.resetAndDestroy(), 100);
  };
  await start(script, createRoute({ repetition: "non-idempotent" }));
  assert.equal((await call()).end, "reset");
});

test("a large unframed response that is reset at once isn't forwarded", async () => {
  const script: Script = (request) => {
    const head = `HTTP/1.1 200 OK\r\n${serverHeaders(request)}`;
    request.socket.write(`${head}\r\n${"x".repeat(OVER_BUFFER_LIMIT_BYTES)}`);
    request.socket.resetAndDestroy();
  };
  await start(script, createRoute({ repetition: "non-idempotent" }));
  for (let repeat = 0; repeat < 10; repeat += 1)
    assert.equal((await call()).status, 502);
});

const unframedRoutes = [
  ["a ticket", createRoute({ repetition: "non-idempotent" })],
  ["a stream", NOT_RESUMABLE],
  ["a resumable stream", { ...RESUMABLE, maxAttempts: 1 }],
] as const;

for (const [kind, route] of unframedRoutes) {
  // Guards against truncated responses that look complete: libuv reports a reset
  // that it reads together with data as an end without an error.
  test(`${kind} that is reset with its last bytes is not complete`, async () => {
    const script: Script = (request) => {
      startUnframed(request, ONE_EVENT);
      request.socket.resetAndDestroy();
    };
    await start(script, route);
    for (let repeat = 0; repeat < 10; repeat += 1) {
      const { status, end } = await call();
      assert.ok(status === 502 || end === "reset", `${status}, ${end}`);
    }
  });

  test(`${kind} that is reset after its FIN is whole`, async () => {
    const script: Script = (request) => {
      startUnframed(request, ONE_EVENT);
      request.socket.end(() => request.socket.resetAndDestroy());
    };
    await start(script, route);
    for (let repeat = 0; repeat < 10; repeat += 1) {
      const { text, end } = await call();
      assert.deepEqual([text, end], [ONE_EVENT, "whole"]);
    }
  });
}

test("a part that is reset at once isn't forwarded after others", async () => {
  const script: Script = (request) => {
    startUnframed(request, ONE_EVENT);
    setTimeout(() => {
      request.socket.write(ONE_EVENT);
      request.socket.resetAndDestroy();
    }, 50);
  };
  await start(script, NOT_RESUMABLE);
  const expected = { status: 200, text: ONE_EVENT, end: "reset" };
  for (let repeat = 0; repeat < 10; repeat += 1)
    assert.deepEqual(await call(), expected);
});

test("an unframed response isn't framed as complete by the router", async () => {
  const script: Script = (request) => {
    const head = `HTTP/1.1 200 OK\r\n${serverHeaders(request)}`;
    request.socket.end(`${head}\r\nfine`);
  };
  await start(script, createRoute());
  const { text } = await callRaw(fixture.port);
  assert.doesNotMatch(text, /content-length|transfer-encoding/i);
  assert.match(text, /Connection: close\r\n\r\nfine$/);
});

test("a complete unframed response is whole", async () => {
  const script: Script = (request) => {
    const head = `HTTP/1.1 200 OK\r\n${serverHeaders(request)}`;
    request.socket.end(`${head}\r\nfine`);
  };
  await start(script, createRoute());
  const expected = { status: 200, text: "fine", end: "whole" };
  assert.deepEqual(await call(), expected);
});

const endings = [
  ["within a line", "id: 2\nda"],
  ["without its blank line", "id: 2\ndata: b\n"],
  ["within a CRLF blank line", "id: 2\r\ndata: b\r\n\r"],
] as const;

for (const [where, rest] of endings) {
  test(`an unframed stream ending ${where} is reset`, async () => {
    await start(streamUnframed(ONE_EVENT, rest), NOT_RESUMABLE);
    const expected = { status: 200, text: ONE_EVENT + rest, end: "reset" };
    assert.deepEqual(await call(), expected);
  });

  test(`a chunked stream ending ${where} is reset`, async () => {
    const script: Script = (request) => {
      startStream(request, ONE_EVENT + rest);
      setTimeout(() => endStream(request), 20);
    };
    await start(script, NOT_RESUMABLE);
    const expected = { status: 200, text: ONE_EVENT + rest, end: "reset" };
    assert.deepEqual(await call(), expected);
  });
}

test("a stream with a length that ends within an event is reset", async () => {
  const text = `${ONE_EVENT}id: 2\nda`;
  const script: Script = (request) => {
    const head = `HTTP/1.1 200 OK\r\n${serverHeaders(request)}`;
    const type = "Content-Type: text/event-stream\r\n";
    const length = `Content-Length: ${text.length}\r\n\r\n`;
    request.socket.write(`${head}${type}${length}${ONE_EVENT}`);
    setTimeout(() => request.socket.write(text.slice(ONE_EVENT.length)), 20);
  };
  await start(script, NOT_RESUMABLE);
  const { text: received, end } = await call();
  assert.deepEqual([received, end], [ONE_EVENT, "reset"]);
});

for (const route of [NOT_RESUMABLE, RESUMABLE]) {
  const kind = route.repetition;

  test(`a ${kind} unframed stream of whole events is whole`, async () => {
    await start(streamUnframed(ONE_EVENT, ONE_EVENT), route);
    const expected = { status: 200, text: ONE_EVENT + ONE_EVENT, end: "whole" };
    assert.deepEqual(await call(), expected);
  });

  test(`a ${kind} stream of split line ends is whole`, async () => {
    const pieces = ONE_EVENT_CRLF.split(/(?<=\r)/);
    await start(streamUnframed(...pieces, ONE_EVENT, "\n"), route);
    const text = `${ONE_EVENT_CRLF}${ONE_EVENT}\n`;
    assert.deepEqual(await call(), { status: 200, text, end: "whole" });
  });

  test(`a ${kind} stream's own 400 is no broken stream`, async () => {
    const script: Script = (request) => {
      const head = `HTTP/1.1 400 No\r\n${serverHeaders(request)}`;
      request.socket.write(`${head}Content-Length: 4\r\n\r\n"no"`);
    };
    await start(script, route);
    const expected = { status: 400, text: '"no"', end: "whole" };
    assert.deepEqual(await call(), expected);
  });
}

/**
 * A caller whose thread is busy for a time after it has sent its request, and
 * that takes each end without an error for the end of the response.
 */
const BUSY_CALLER = `
const { parentPort, workerData } = require("node:worker_threads");
const { port, busyMs } = workerData;
const socket = require("node:net").connect(port, "127.0.0.1");
let text = "";
const lines = ["GET /lookup/1 HTTP/1.1", "Host: desk.example", "X-Attempt-Id: id"];
socket.write(lines.join("\\r\\n") + "\\r\\n\\r\\n", () => {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, busyMs);
});
socket.on("data", (chunk) => { text += chunk.toString("latin1"); });
socket.on("end", () => parentPort.postMessage({ text, end: "closed" }));
socket.on("error", () => parentPort.postMessage({ text, end: "reset" }));
`;

// Guards against truncated streams that look complete to a caller that reads their
// last bytes and the router's reset at once.
test("a busy caller is shown that a stream without a length broke off", async () => {
  const script: Script = (request) => {
    startUnframed(request);
    setTimeout(() => request.socket.write(ONE_EVENT), 10);
    setTimeout(() => request.socket.resetAndDestroy(), 20);
  };
  await start(script, NOT_RESUMABLE);
  for (let repeat = 0; repeat < 5; repeat += 1) {
    const workerData = { port: fixture.port, busyMs: 50 };
    const worker = new Worker(BUSY_CALLER, { eval: true, workerData });
    const [{ text, end }] = (await once(worker, "message")) as [
      { readonly text: string; readonly end: string },
    ];
    await worker.terminate();
    assert.ok(text.endsWith(ONE_EVENT), text);
    assert.equal(end, "reset");
  }
});
