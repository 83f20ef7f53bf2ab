/** Servers that send bytes without end until the router closes. */

import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { request } from "undici";
import type {
  ReceivedRequest,
  Script,
} from "../../stand_ins/scripted_server.ts";
import { until } from "../../tools/fleet/until.ts";
import { createConfiguration, createRoute } from "../support/routes.ts";
import {
  createRouterFixture,
  type RouterFixture,
  respondCompletely,
  serverHeaders,
  writeEndlessly,
} from "./fixture.ts";

const DEADLINE_MS = 3_000;
/** Well before the deadline, with room for a busy machine. */
const BOUND_MS = 2_000;
const MEMORY_BOUND_BYTES = 256 * 1024 * 1024;

let fixture: RouterFixture;

afterEach(async () => {
  await fixture.close();
});

/** Sends a start, then a piece for as long as the connection is open. */
function sendEndlessly(
  startOf: (request: ReceivedRequest) => string,
  piece: string,
): Script {
  return (request) => {
    if (request.path !== "/lookup/endless") {
      respondCompletely(request);
      return;
    }
    writeEndlessly(request, { start: startOf(request), piece });
  };
}

async function call(path: string) {
  const response = await request(`http://127.0.0.1:${fixture.port}${path}`, {
    method: "POST",
    headers: {
      ...{ host: "desk.example", "x-attempt-id": path },
      "x-deadline-ms": String(DEADLINE_MS),
    },
    body: "b",
  });
  const { statusCode: status } = response;
  let bytes = 0;
  try {
    for await (const chunk of response.body) bytes += chunk.length;
  } catch {
    return { status, bytes, end: "reset" };
  }
  return { status, bytes, end: "whole" };
}

const head = (status: string, request: ReceivedRequest) =>
  `HTTP/1.1 ${status}\r\n${serverHeaders(request)}`;
const chunked = (request: ReceivedRequest) =>
  `${head("200 OK", request)}Transfer-Encoding: chunked\r\n\r\n`;

interface Case {
  readonly name: string;
  readonly script: Script;
  readonly status: number;
}

const cases: readonly Case[] = [
  {
    name: "header lines",
    script: sendEndlessly((one) => head("200 OK", one), "X-A: b\r\n"),
    status: 502,
  },
  {
    name: "a header line",
    script: sendEndlessly((one) => `${head("200 OK", one)}X-A: `, "b"),
    status: 502,
  },
  {
    name: "a status line",
    script: sendEndlessly(() => "HTTP/1.1 200 ", "O"),
    status: 502,
  },
  {
    name: "informational responses",
    script: sendEndlessly(() => "", "HTTP/1.1 103 Early\r\n\r\n"),
    status: 502,
  },
  {
    name: "bytes that are no HTTP",
    script: sendEndlessly(() => "", "garbage "),
    status: 502,
  },
  {
    name: "empty lines",
    script: sendEndlessly(() => "", "\r\n"),
    status: 502,
  },
  {
    name: "a chunk extension",
    script: sendEndlessly((one) => `${chunked(one)}4;`, "x"),
    status: 502,
  },
  {
    name: "trailers",
    script: sendEndlessly((one) => `${chunked(one)}0\r\n`, "X-A: b\r\n"),
    status: 502,
  },
  {
    name: "the body of a refusal",
    script: sendEndlessly(
      (one) => `${head("503 Full", one)}X-Not-Executed: 1\r\n\r\n`,
      "x",
    ),
    status: 503,
  },
];

for (const { name, script, status } of cases) {
  test(`${name} without end: the connection is closed`, async () => {
    const configuration = createConfiguration({
      routes: [createRoute({ repetition: "non-idempotent", maxAttempts: 1 })],
    });
    fixture = await createRouterFixture({ configuration, scripts: [script] });
    const memoryBytes = process.memoryUsage.rss();
    const startMs = performance.now();
    const endless = call("/lookup/endless");
    assert.equal((await call("/lookup/other")).status, 200);
    assert.equal((await endless).status, status);
    assert.ok(performance.now() - startMs < BOUND_MS);
    await until("the connection is closed", BOUND_MS, {
      holds: () => (fixture.servers[0]?.closed ?? 0) > 0,
    });
    assert.ok(process.memoryUsage.rss() - memoryBytes < MEMORY_BOUND_BYTES);
  });
}

test("a refusal whose body never ends is a refusal", async () => {
  const script: Script = (one) => {
    const headers = `${head("503 Full", one)}X-Not-Executed: 1\r\n`;
    one.socket.write(`${headers}Content-Length: 4\r\n\r\nno`);
  };
  fixture = await createRouterFixture({ scripts: [script] });
  assert.equal((await call("/lookup/endless")).status, 503);
  assert.equal(fixture.servers[0]?.closed, 1);
});

for (const repetition of ["non-idempotent", "resumable"] as const) {
  test(`an event without end of a ${repetition} stream is cut`, async () => {
    const route = createRoute({ repetition, maxAttempts: 1, streaming: true });
    const configuration = createConfiguration({ routes: [route] });
    const script = sendEndlessly(chunked, `100\r\n${"x".repeat(256)}\r\n`);
    fixture = await createRouterFixture({ configuration, scripts: [script] });
    const startMs = performance.now();
    const { status, end } = await call("/lookup/endless");
    assert.ok(status === 502 || end === "reset");
    assert.ok(performance.now() - startMs < BOUND_MS);
    await until("the connection is closed", BOUND_MS, {
      holds: () => fixture.servers[0]?.closed === 1,
    });
  });
}

test("bytes without end after a response close its connection", async () => {
  const script = sendEndlessly(
    (one) => `${head("200 OK", one)}Content-Length: 4\r\n\r\nfine`,
    "garbage ",
  );
  fixture = await createRouterFixture({ scripts: [script] });
  assert.equal((await call("/lookup/endless")).status, 200);
  await until("the connection is closed", BOUND_MS, {
    holds: () => fixture.servers[0]?.closed === 1,
  });
});
