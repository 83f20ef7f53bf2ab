/**
 * Responses whose connection ends while their reader is paused. undici threw in
 * a listener of the socket then, which ended the router and all its requests.
 */

import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { Deferred } from "../../src/common/promises.ts";
import { BackendConnection } from "../../src/direct/backend_connection.ts";
import type { BackendServer } from "../../src/directory/mod.ts";
import {
  type ReceivedRequest,
  ScriptedServer,
} from "../../stand_ins/scripted_server.ts";
import { until } from "../../tools/fleet/until.ts";
import { createServer } from "../support/servers.ts";

const TIMEOUT_MS = 5_000;
/** So that each write is read by itself. */
const READ_MS = 50;
const HEADS = {
  "until-close": "HTTP/1.1 200 OK\r\n\r\n",
  "a length":
    "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\n",
  chunks:
    "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n",
};
const ENDS = ["FIN", "reset"] as const;

let server: ScriptedServer;
let connection: BackendConnection | null = null;

afterEach(() => {
  connection?.destroy();
  server.crash();
});

async function connect(): Promise<BackendConnection> {
  server = new ScriptedServer(() => {});
  await server.listen();
  const address = { host: "127.0.0.1", port: server.port };
  const target: BackendServer = createServer(address);
  connection = (await BackendConnection.open(target))._unsafeUnwrap();
  return connection;
}

const REQUEST = {
  ...{ method: "GET", path: "/", headers: [] },
  body: Buffer.alloc(0),
};

/** A reader that pauses at each piece of a response. */
function createReader(
  opened: BackendConnection,
  onEnd: (outcome: "ended" | "reset" | "failed") => void,
) {
  const reader = { text: "", resume: () => {} };
  opened.send(REQUEST, {
    onRequestStart: () => {},
    onResponseData: (controller, chunk) => {
      reader.text += chunk.toString("latin1");
      controller.pause();
      reader.resume = () => controller.resume();
    },
    onResponseEnd: () => onEnd(opened.error === null ? "ended" : "reset"),
    onResponseError: () => onEnd("failed"),
  });
  return reader;
}

async function firstRequest(): Promise<ReceivedRequest> {
  await until("the request arrives", TIMEOUT_MS, {
    holds: () => server.requests.length > 0,
  });
  const [received] = server.requests;
  assert.ok(received);
  return received;
}

for (const [framing, head] of Object.entries(HEADS)) {
  for (const end of ENDS) {
    test(`a paused response with ${framing} ends with a ${end}`, async () => {
      const opened = await connect();
      let outcome = "open";
      const reader = createReader(opened, (end) => {
        outcome = end;
      });
      const { socket } = await firstRequest();
      socket.write(head);
      await delay(READ_MS);
      socket.write(framing === "chunks" ? "4\r\nfine\r\n" : "fine");
      await delay(READ_MS);
      if (end === "reset") socket.resetAndDestroy();
      else socket.end(framing === "chunks" ? "0\r\n\r\n" : "");
      await delay(READ_MS);
      reader.resume();
      await until("the response ends", TIMEOUT_MS, {
        holds: () => outcome !== "open",
      });
      assert.equal(reader.text, "fine");
      if (end === "FIN") assert.equal(outcome, "ended");
      else if (framing !== "a length") assert.notEqual(outcome, "ended");
    });
  }
}

// Guards against requests that wait for a caller of another one: a response may end
// while its reader is paused, and its connection is used again.
const CONNECTION_TEST = { timeout: TIMEOUT_MS };
test(
  "a connection is read on after a response whose reader is paused",
  CONNECTION_TEST,
  async () => {
    const opened = await connect();
    server.script = ({ socket }) => {
      socket.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine");
    };
    for (let count = 0; count < 3; count += 1) {
      const ended = new Deferred<string>();
      const reader = createReader(opened, (end) => ended.resolve(end));
      assert.equal(await ended.promise, "ended");
      assert.equal(reader.text, "fine");
      // The reader of a response that has ended has no say in the next one.
      if (count === 1) reader.resume();
    }
  },
);
