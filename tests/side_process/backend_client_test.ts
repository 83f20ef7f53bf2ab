/** How responses of the backend server beside a side process end. */

import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import type { RunRequest } from "../../src/protocol/mod.ts";
import { BackendClient } from "../../src/side_process/backend_client.ts";
import {
  type Script,
  ScriptedServer,
} from "../../stand_ins/scripted_server.ts";

const TIMEOUT_MS = 5_000;
const REPEATS = 10;

let server: ScriptedServer;
let client: BackendClient;

async function start(script: Script): Promise<void> {
  server = new ScriptedServer(script);
  await server.listen();
  const url = `http://127.0.0.1:${server.port}`;
  client = new BackendClient({ type: "plain", url, slots: 2, service: "desk" });
}

afterEach(async () => {
  server.crash();
  await client.close();
});

function createRun(): RunRequest {
  return {
    ...{ type: "run", attempt: "a", grant: 0, team: "porters", kind: "desk" },
    ...{ method: "GET", path: "/", headers: [], body: new Uint8Array() },
    ...{ idempotent: false, idempotencyKey: "", remainingMs: TIMEOUT_MS },
    ...{ costHint: 0, waiting: 0 },
  };
}

/** Returns the text of a response, or null if it broke off. */
async function call(): Promise<string | null> {
  const signal = AbortSignal.timeout(TIMEOUT_MS);
  const reply = await client.start(createRun(), signal);
  if (reply.isErr()) return null;
  let text = "";
  try {
    for await (const chunk of reply.value.body) text += chunk;
  } catch {
    return null;
  }
  return text;
}

// Guards against a part of a response that looks like the whole: libuv reports a reset
// that it reads together with data as an end without an error.
test("an unframed response that is reset with its last bytes is broken", async () => {
  await start(({ socket }) => {
    socket.write("HTTP/1.1 200 OK\r\n\r\npart");
    socket.resetAndDestroy();
  });
  for (let repeat = 0; repeat < REPEATS; repeat += 1)
    assert.equal(await call(), null);
});

test("an unframed response that is reset after its last bytes is broken", async () => {
  await start(({ socket }) => {
    socket.write("HTTP/1.1 200 OK\r\n\r\npart");
    setTimeout(() => socket.resetAndDestroy(), 20);
  });
  for (let repeat = 0; repeat < REPEATS; repeat += 1)
    assert.equal(await call(), null);
});

test("an unframed response that ends with its connection is whole", async () => {
  await start(({ socket }) => {
    socket.end("HTTP/1.1 200 OK\r\n\r\nwhole");
  });
  for (let repeat = 0; repeat < REPEATS; repeat += 1)
    assert.equal(await call(), "whole");
});

test("a response with a length is whole, even if a reset follows", async () => {
  await start(({ socket }) => {
    socket.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
    socket.resetAndDestroy();
  });
  for (let repeat = 0; repeat < REPEATS; repeat += 1)
    assert.equal(await call(), "whole");
});

test("a response with a transfer coding besides chunks is broken", async () => {
  await start(({ socket }) => {
    socket.end("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\npart");
  });
  for (let repeat = 0; repeat < REPEATS; repeat += 1)
    assert.equal(await call(), null);
});

for (const status of ["000", "099", "600", "999"])
  test(`a response whose status is ${status} is broken`, async () => {
    await start(({ socket }) => {
      const head = `HTTP/1.1 ${status} Odd\r\nContent-Length: 4`;
      socket.write(`${head}\r\n\r\nodd!`);
    });
    for (let repeat = 0; repeat < REPEATS; repeat += 1)
      assert.equal(await call(), null);
  });

// Guards against a side process that ends: undici threw in a listener of a socket
// whose connection ended while the reader of its response was slow.
for (const end of ["FIN", "reset"] as const) {
  test(`a response that isn't read ends with a ${end}`, async () => {
    const piece = "x".repeat(70_000);
    await start(async ({ socket }) => {
      socket.write("HTTP/1.1 200 OK\r\n\r\n");
      await delay(50);
      socket.write(piece);
      await delay(100);
      if (end === "FIN") socket.end();
      else socket.resetAndDestroy();
    });
    const signal = AbortSignal.timeout(TIMEOUT_MS);
    const reply = (await client.start(createRun(), signal))._unsafeUnwrap();
    await delay(300);
    let sizeBytes = 0;
    const read = async () => {
      for await (const chunk of reply.body) sizeBytes += chunk.length;
    };
    if (end === "reset") await assert.rejects(read());
    else {
      await read();
      assert.equal(sizeBytes, piece.length);
    }
  });
}
