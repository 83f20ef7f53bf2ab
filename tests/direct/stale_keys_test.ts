/** Routers that have lost the store, while others still reach it. */

import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { Agent, request } from "undici";
import { until } from "../../tools/fleet/until.ts";
import { createConfiguration, createRoute } from "../support/routes.ts";
import { createRouterFixture, type RouterFixture } from "./fixture.ts";

const TIMEOUT_MS = 10_000;
const REVOCATION_MS = 1_000;
const CONFIGURATION_MS = 500;
/** Longer than any test: the configuration is confirmed once, at the start. */
const NEVER_MS = 1_000_000;

let fixture: RouterFixture;

afterEach(async () => {
  await fixture.close();
});

async function startWithoutStore(requiresKey: boolean): Promise<void> {
  const routes = [createRoute({ requiresKey })];
  fixture = await createRouterFixture({
    configuration: createConfiguration({ routes }),
    ...{ revocationMs: REVOCATION_MS, configurationMs: CONFIGURATION_MS },
    confirmIntervalMs: NEVER_MS,
  });
}

async function isReady(): Promise<boolean> {
  const url = `http://127.0.0.1:${fixture.readyPort}/ready`;
  const { statusCode, body } = await request(url);
  await body.dump();
  return statusCode === 200;
}

interface CallOptions {
  readonly path?: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
}

async function call(
  agent: Agent,
  { path = "/lookup/1", headers = {}, body }: CallOptions = {},
) {
  const response = await request(`http://127.0.0.1:${fixture.port}${path}`, {
    headers: {
      ...{ host: "desk.example", "x-attempt-id": "id" },
      ...{ authorization: "Token key-1", ...headers },
    },
    ...(body === undefined ? {} : { method: "POST", body }),
    dispatcher: agent,
  });
  const text = await response.body.text();
  return { status: response.statusCode, text, headers: response.headers };
}

test("callers are sent to other routers before keys have to be refused", async () => {
  await startWithoutStore(true);
  const agent = new Agent();
  assert.equal(await isReady(), true);
  await until("the router isn't ready", TIMEOUT_MS, {
    holds: async () => !(await isReady()),
  });
  assert.equal((await call(agent)).status, 200);
  await agent.destroy();
});

test("a caller whose key can't be checked is asked to reconnect", async () => {
  await startWithoutStore(true);
  const agent = new Agent({ connections: 1 });
  let last = await call(agent);
  assert.equal(last.headers.connection, "keep-alive");
  await until("keys are refused", TIMEOUT_MS, {
    holds: async () => {
      last = await call(agent);
      return last.status === 503;
    },
  });
  assert.equal(last.headers.connection, "close");
  assert.match(last.text, /keys-too-old/);
  await agent.destroy();
});

test("callers that a newer configuration may allow are asked to reconnect", async () => {
  await startWithoutStore(true);
  const { limits } = createConfiguration();
  const calls: readonly CallOptions[] = [
    { headers: { authorization: "Token key-2" } },
    { path: "/other/1" },
    { body: "x".repeat(limits.bodyBytes + 1) },
    { headers: { "x-long": "x".repeat(limits.headerBytes) } },
  ];
  const agent = new Agent();
  const callAll = () =>
    Promise.all(calls.map((options) => call(agent, options)));
  const statuses = (await callAll()).map(({ status }) => status);
  assert.deepEqual(statuses, [401, 404, 413, 431]);
  await until("no request may be refused for good", TIMEOUT_MS, {
    holds: () => !fixture.router.configuration.permitsRefusal,
  });
  for (const { status, text, headers } of await callAll()) {
    assert.equal(status, 503);
    assert.match(text, /configuration-too-old/);
    assert.equal(headers.connection, "close");
  }
  await agent.destroy();
});

test("a router without keys stays ready while the store is away", async () => {
  await startWithoutStore(false);
  const { configuration } = fixture.router;
  await until("keys would be refused", TIMEOUT_MS, {
    holds: () => !configuration.keysAreFresh,
  });
  assert.equal(await isReady(), true);
});
