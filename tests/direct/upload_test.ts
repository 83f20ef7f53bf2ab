/** What callers get whose bodies a router doesn't keep. */

import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { request } from "undici";
import { until } from "../../tools/fleet/until.ts";
import { createConfiguration, createRoute } from "../support/routes.ts";
import { createRouterFixture, type RouterFixture } from "./fixture.ts";
import { type Caller, connectCaller, requestHead } from "./raw_caller.ts";

const TIMEOUT_MS = 10_000;
const DEADLINE_MS = 8_000;
/** Room for one body of the largest size, and not for two. */
const MEMORY_MB = 1.25;
const BODY_BYTES = 90_000;
const CHUNKED = ["Transfer-Encoding: chunked"];

let fixture: RouterFixture;
const callers: Caller[] = [];

afterEach(async () => {
  for (const { socket } of callers.splice(0)) socket.destroy();
  await fixture.close();
});

async function start(options: { readonly memoryMb?: number } = {}) {
  const routes = [createRoute({ requiresKey: true })];
  const configuration = createConfiguration({ routes });
  fixture = await createRouterFixture({ configuration, ...options });
}

/** Sends a request up to some bytes of its body, which doesn't end. */
async function upload(key: string, sizeBytes: number): Promise<Caller> {
  const caller = await connectCaller(fixture.port);
  callers.push(caller);
  const lines = [...CHUNKED, `Authorization: Token ${key}`];
  const head = requestHead("POST", { lines, deadlineMs: DEADLINE_MS });
  const size = sizeBytes.toString(16);
  caller.socket.write(`${head}${size}\r\n${"x".repeat(sizeBytes)}\r\n`);
  return caller;
}

async function untilAnswered({ seen }: Caller): Promise<string> {
  const holds = async () => seen.text.includes("}");
  await until("the request is answered", TIMEOUT_MS, { holds });
  return seen.text;
}

async function untilHeld(sizeBytes: number): Promise<void> {
  const holds = async () => {
    const { body } = await request(
      `http://127.0.0.1:${fixture.readyPort}/metrics`,
    );
    const [, held] = /^oriole_held_bytes (\d+)$/m.exec(await body.text()) ?? [];
    return Number(held) >= sizeBytes;
  };
  await until("the router holds the body", TIMEOUT_MS, { holds });
}

test("a body without a valid key is refused before its end", async () => {
  await start();
  const text = await untilAnswered(await upload("unknown", 1));
  assert.match(text, /^HTTP\/1\.1 401 /);
});

test("a body that is too long is refused before its end", async () => {
  await start();
  const text = await untilAnswered(await upload("key-1", 100_001));
  assert.match(text, /^HTTP\/1\.1 413 /);
});

test("the rest of a refused body doesn't become part of the next request", async () => {
  await start();
  const caller = await upload("unknown", 1);
  await untilAnswered(caller);
  const lines = ["Authorization: Token key-1"];
  const next = requestHead("GET", { lines, deadlineMs: DEADLINE_MS });
  caller.socket.write(`1\r\nx\r\n0\r\n\r\n${next}`);
  const holds = async () => caller.seen.text.includes("fine");
  await until("the next request is answered", TIMEOUT_MS, { holds });
  const [server] = fixture.servers;
  assert.deepEqual(
    server?.requests.map(({ method }) => method),
    ["GET"],
  );
});

test("a body for which there is no memory is refused as not run", async () => {
  await start({ memoryMb: MEMORY_MB });
  const first = await upload("key-1", BODY_BYTES);
  await untilHeld(BODY_BYTES);
  const second = await upload("key-1", BODY_BYTES);
  const text = await untilAnswered(second);
  assert.match(text, /^HTTP\/1\.1 503 /);
  assert.match(text, /\r\nretry-after: /i);
  assert.match(text, /\r\nconnection: close\r\n/i);
  first.socket.write("0\r\n\r\n");
  const holds = async () => first.seen.text.includes("fine");
  await until("the earlier body is served", TIMEOUT_MS, { holds });
  assert.equal(fixture.servers[0]?.requests.length, 1);
});
