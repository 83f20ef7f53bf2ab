/** A caller that reads slowly while its router shuts down. */

import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { createConfiguration, createRoute } from "../support/routes.ts";
import { createRouterFixture, serverHeaders } from "./fixture.ts";

/** Short enough to be ended before any of it is read. */
const BODY_BYTES = 60_000;
/** Enough responses to fill the socket buffers on both sides. */
const REQUESTS = 300;
/** Time until the router can't write any more. */
const FILL_MS = 1_000;
/** After the router has stopped listening, and before it closes. */
const READ_AFTER_MS = 3_000;

function sendRequests(port: number): Socket {
  const socket = connect(port, "127.0.0.1");
  const one =
    "GET /lookup/1 HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: id\r\n\r\n";
  socket.pause();
  socket.write(one.repeat(REQUESTS));
  return socket;
}

/** Reads until the connection ends. */
function readAll(socket: Socket): Promise<string> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    socket.on("data", (chunk) => chunks.push(chunk));
    socket.on("end", () => resolve(Buffer.concat(chunks).toString("latin1")));
    socket.on("error", reject);
    socket.resume();
  });
}

test("a response that has ended isn't truncated when the router stops listening", async () => {
  const routes = [createRoute({ timeoutMs: 20_000 })];
  const fixture = await createRouterFixture({
    configuration: createConfiguration({ routes }),
    scripts: [
      (received) => {
        const head = `HTTP/1.1 200 OK\r\n${serverHeaders(received)}`;
        const length = `Content-Length: ${BODY_BYTES}\r\n\r\n`;
        received.socket.write(`${head}${length}${"x".repeat(BODY_BYTES)}`);
      },
    ],
    graceSeconds: 6,
  });
  try {
    const caller = sendRequests(fixture.port);
    await delay(FILL_MS);
    const closed = fixture.router.close();
    await delay(READ_AFTER_MS);
    const text = await readAll(caller);
    const [, ...responses] = text.split("HTTP/1.1 200 OK\r\n");
    const bodies = responses.map(
      (one) => one.match(/\r\n\r\n(x*)/)?.[1]?.length ?? 0,
    );
    assert.ok(bodies.length > 0 && bodies.length < REQUESTS);
    assert.deepEqual(new Set(bodies), new Set([BODY_BYTES]));
    await closed;
  } finally {
    await fixture.close();
  }
});
