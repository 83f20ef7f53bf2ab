/** A router that shuts down completes the requests in progress. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { Agent, request } from "undici";
import type { ReceivedRequest } from "../../stand_ins/scripted_server.ts";
import { until } from "../../tools/fleet/until.ts";
import {
  createRouterFixture,
  type RouterFixture,
  respondCompletely,
} from "./fixture.ts";

const TIMEOUT_MS = 10_000;

async function call(fixture: RouterFixture, dispatcher: Agent) {
  const response = await request(`http://127.0.0.1:${fixture.port}/lookup/1`, {
    headers: { host: "desk.example", "x-attempt-id": "id" },
    dispatcher,
  });
  const text = await response.body.text();
  return { status: response.statusCode, text, headers: response.headers };
}

async function readiness({ readyPort }: RouterFixture): Promise<number> {
  const response = await request(`http://127.0.0.1:${readyPort}/ready`);
  await response.body.dump();
  return response.statusCode;
}

test("requests complete, and callers are told to reconnect", async () => {
  const requests: ReceivedRequest[] = [];
  const fixture = await createRouterFixture({
    graceSeconds: 4,
    scripts: [(one) => requests.push(one)],
  });
  const agent = new Agent();
  assert.equal(await readiness(fixture), 200);
  const running = call(fixture, agent);
  const holds = () => requests.length === 1;
  await until("the request runs", TIMEOUT_MS, { holds });
  const closed = fixture.router.close();
  assert.equal(await readiness(fixture), 503);
  respondCompletely(requests[0] as ReceivedRequest);
  const response = await running;
  assert.equal(response.text, "fine");
  assert.equal(response.headers.connection, "close");
  await closed;
  await assert.rejects(call(fixture, agent));
  await fixture.close();
  await agent.destroy();
});

test("a kept-alive connection is served until listening stops", async () => {
  const fixture = await createRouterFixture({ graceSeconds: 4 });
  const agent = new Agent({ connections: 1 });
  assert.equal((await call(fixture, agent)).status, 200);
  const closed = fixture.router.close();
  const response = await call(fixture, agent);
  assert.equal(response.status, 200);
  assert.equal(response.headers.connection, "close");
  await closed;
  await fixture.close();
  await agent.destroy();
});
