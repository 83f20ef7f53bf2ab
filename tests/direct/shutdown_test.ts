/** A router that shuts down completes the requests in progress. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { Agent, request } from "undici";
import type { ReceivedRequest } from "../../stand_ins/scripted_server.ts";
import { until } from "../../tools/fleet/until.ts";
import { createConfiguration, createRoute } from "../support/routes.ts";
import {
  createRouterFixture,
  type RouterFixture,
  respondCompletely,
} from "./fixture.ts";
import {
  type Caller,
  callRaw,
  connectCaller,
  requestHead,
} from "./raw_caller.ts";

const TIMEOUT_MS = 10_000;
/** Interval of the requests of a load, each on a connection of its own. */
const LOAD_INTERVAL_MS = 5;

async function call(fixture: RouterFixture, dispatcher: Agent) {
  const response = await request(`http://127.0.0.1:${fixture.port}/lookup/1`, {
    headers: { host: "desk.example", "x-attempt-id": "id" },
    dispatcher,
  });
  const text = await response.body.text();
  return { status: response.statusCode, text, headers: response.headers };
}

/** Sends a request whose last byte follows once `finish` is called. */
async function startUpload({ port }: RouterFixture, deadlineMs: number) {
  const caller = await connectCaller(port);
  const lines = ["Content-Length: 4"];
  caller.socket.write(`${requestHead("POST", { lines, deadlineMs })}bod`);
  return { ...caller, finish: () => caller.socket.write("y") };
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

test("requests accepted around a planned stop under load are answered", async () => {
  const fixture = await createRouterFixture({
    graceSeconds: 4,
    scripts: [1, 2, 3, 4].map(() => (one: ReceivedRequest) => {
      setTimeout(() => respondCompletely(one), 30);
    }),
    configuration: createConfiguration({
      routes: [createRoute({ repetition: "non-idempotent" })],
    }),
  });
  const callers: Array<ReturnType<typeof callRaw>> = [];
  const headers = { connection: "close" };
  const load = setInterval(() => {
    callers.push(callRaw(fixture.port, { headers }));
  }, LOAD_INTERVAL_MS);
  await until("the load runs", TIMEOUT_MS, {
    holds: () => callers.length > 50,
  });
  await fixture.router.close();
  clearInterval(load);
  const responses = await Promise.all(callers);
  await fixture.close();
  const ended = new Map<string, number>();
  for (const { text } of responses) {
    const end = text.slice(9, 12);
    ended.set(end, (ended.get(end) ?? 0) + 1);
    // No byte: the router had stopped listening, or hadn't read the request.
    assert.match(text, /^$|200 OK[\s\S]*fine$|503[\s\S]*"not-run"/);
  }
  assert.ok((ended.get("200") ?? 0) > 50, JSON.stringify([...ended]));
  const sent = fixture.servers.flatMap(({ requests }) => requests).length;
  assert.equal(sent, ended.get("200"), "a request that a server got was cut");
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

// Guards against uploads that are complete late in a shutdown: they were passed on and
// cut at its end.
test("a late upload that may outlast the shutdown is refused as not run", async (t) => {
  const graceSeconds = 2;
  const fixture = await createRouterFixture({
    graceSeconds,
    configuration: createConfiguration({
      routes: [createRoute({ repetition: "non-idempotent" })],
    }),
    // Takes longer than is left of the grace period.
    scripts: [
      (one) => {
        setTimeout(() => respondCompletely(one), graceSeconds * 1_000);
      },
    ],
  });
  t.after(() => fixture.close());
  const long = await startUpload(fixture, 5_000);
  const closed = fixture.router.close();
  await untilListeningStops(fixture);
  long.finish();
  await until("the upload is refused", TIMEOUT_MS, {
    holds: () => /^HTTP\/1\.1 503[\s\S]*"not-run"/.test(long.seen.text),
  });
  await closed;
  assert.equal(fixture.servers[0]?.requests.length, 0);
});

test("a late upload whose deadline comes before the shutdown's end is served", async (t) => {
  const fixture = await createRouterFixture({ graceSeconds: 3 });
  t.after(() => fixture.close());
  const short = await startUpload(fixture, 2_000);
  const closed = fixture.router.close();
  await untilListeningStops(fixture);
  short.finish();
  await until("the upload is answered", TIMEOUT_MS, {
    holds: () => /^HTTP\/1\.1 200[\s\S]*fine$/.test(short.seen.text),
  });
  await closed;
});

async function untilListeningStops({ port }: RouterFixture): Promise<void> {
  const destroy = ({ socket }: Caller) => {
    socket.destroy();
    return false;
  };
  await until("listening has stopped", TIMEOUT_MS, {
    holds: () => connectCaller(port).then(destroy, () => true),
  });
}
