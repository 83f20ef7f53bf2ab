/** How the end of a server's response looks to its caller. */

import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { request } from "undici";
import type { Route } from "../../src/routing/mod.ts";
import type { Script } from "../../stand_ins/scripted_server.ts";
import { createConfiguration, createRoute } from "../support/routes.ts";
import {
  createRouterFixture,
  type RouterFixture,
  serverHeaders,
} from "./fixture.ts";

const OVER_BUFFER_LIMIT_BYTES = 200_000;

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
  const response = await request(`http://127.0.0.1:${fixture.port}/lookup/1`, {
    method: "POST",
    headers: { host: "desk.example", "x-attempt-id": "s" },
    body: "b",
  });
  const { statusCode: status } = response;
  let text = "";
  try {
    for await (const chunk of response.body) text += chunk;
  } catch {
    return { status, text, end: "reset" };
  }
  return { status, text, end: "whole" };
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

test("a complete unframed response is whole", async () => {
  const script: Script = (request) => {
    const head = `HTTP/1.1 200 OK\r\n${serverHeaders(request)}`;
    request.socket.end(`${head}\r\nfine`);
  };
  await start(script, createRoute());
  const expected = { status: 200, text: "fine", end: "whole" };
  assert.deepEqual(await call(), expected);
});
