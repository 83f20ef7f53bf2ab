/**
 * The HTTP interface for callers, on a fleet of one router and one server of
 * each service.
 */

import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { request } from "undici";
import type { Execution } from "../../stand_ins/run_log.ts";
import { deskDeployment } from "../../tools/fleet/deployments.ts";
import { Fleet, type Member } from "../../tools/fleet/fleet.ts";
import type { Plan } from "../../tools/fleet/plan.ts";
import { until } from "../../tools/fleet/until.ts";
import { chat, type RawCall, send } from "../../tools/load/caller.ts";

const KEY = "key-of-desk-01";
const TIMEOUT_MS = 10_000;

let fleet: Fleet;

function createPlan(): Plan {
  const base = deskDeployment();
  return {
    ...base,
    routers: 1,
    services: base.services.map((one) => ({ ...one, replicas: 1, slots: 2 })),
    document: {
      ...base.document,
      contracts: base.document.contracts.map((one) => ({
        ...one,
        maxWaitingPerRouter: 4,
      })),
      rules: [
        {
          name: "no-drafts-by-desk-02",
          when: { team: ["desk-02"], kind: ["draft"] },
          then: {
            type: "refuse",
            status: 403,
            reason: "Desk 02 has no drafts",
            retryAfterSeconds: 60,
          },
        },
      ],
    },
  };
}

function url(path: string): string {
  return `${fleet.routers[0]?.url}${path}`;
}

function post(body: string, headers: RawCall["headers"] = {}): RawCall {
  return { method: "POST", key: KEY, body, headers };
}

function chatBody(change: object = {}): string {
  const messages = [{ role: "user", content: "Hello" }];
  return JSON.stringify({ model: "desk-model", messages, ...change });
}

async function executions(): Promise<Execution[]> {
  const lists = await Promise.all(
    fleet.backends.map(async (backend) => {
      const response = await fetch(`${backend.url}/executions`);
      return (await response.json()) as Execution[];
    }),
  );
  return lists.flat();
}

before(async () => {
  fleet = await Fleet.start(createPlan());
});

after(async () => {
  await fleet.stop();
});

test("invalid input gets a 4xx that names the field, and is not run", async () => {
  const chatUrl = url("/v1/chat/completions");
  const cases: [string, RawCall, number, RegExp][] = [
    [chatUrl, post("{"), 400, /not JSON/],
    [chatUrl, post("[]"), 400, /model/],
    [chatUrl, post('{"model":"desk-model"}'), 400, /messages/],
    [chatUrl, post(chatBody({ model: "nix" })), 404, /nix/],
    [chatUrl, post(chatBody({ model: "desk-app" })), 404, /not a model/],
    [chatUrl, post(chatBody({ x: "y".repeat(1_100_000) })), 413, /1048576/],
    [
      chatUrl,
      post(chatBody(), { "oriole-deadline-ms": "soon" }),
      400,
      /Oriole-Deadline-Ms/,
    ],
    [
      chatUrl,
      post(chatBody(), { "oriole-idempotent": "yes" }),
      400,
      /Oriole-Idempotent/,
    ],
    [
      chatUrl,
      post(chatBody(), { "oriole-cost-hint": "-1" }),
      400,
      /Oriole-Cost-Hint/,
    ],
    [chatUrl, { method: "GET", key: KEY }, 405, /POST/],
    [url("/elsewhere"), post(""), 404, /elsewhere/],
    [url("/services/nix/a"), post(""), 404, /nix/],
    [chatUrl, { ...post(chatBody()), key: "wrong" }, 401, /Authorization/],
  ];
  const ranBefore = (await executions()).length;
  for (const [target, call, status, sentence] of cases) {
    const result = await send(target, call);
    assert.equal(result.status, status, result.body);
    assert.equal(result.outcome, "not-run");
    assert.match(result.body, sentence);
    assert.notEqual(result.requestId, "");
  }
  assert.equal((await executions()).length, ranBefore);
});

test("a plain service's status, headers and body pass through", async () => {
  const target = url("/services/desk-app/orders/7?status=418");
  const result = await send(target, { ...post("stock"), method: "PUT" });
  assert.equal(result.status, 418);
  assert.equal(result.outcome, "");
  assert.match(result.body, /"method":"PUT","path":"\/orders\/7"/);
});

test("a rule's refusal carries its reason and Retry-After", async () => {
  const result = await send(url("/v1/chat/completions"), {
    ...post(chatBody(), { "oriole-kind": "draft" }),
    key: "key-of-desk-02",
  });
  assert.equal(result.status, 403);
  assert.equal(result.retryAfter, "60");
  assert.match(result.body, /Desk 02 has no drafts/);
});

test("a caller's disconnect cancels its request in the engine", async () => {
  const disconnect = new AbortController();
  const ranBefore = (await executions()).length;
  const call = chat({
    url: url(""),
    key: KEY,
    model: "desk-model",
    prompt: "A long answer that nobody reads",
    maxTokens: 20_000,
    stream: true,
    signal: disconnect.signal,
  });
  await until("the request runs", TIMEOUT_MS, {
    holds: async () => (await executions()).length > ranBefore,
  });
  disconnect.abort();
  await call;
  await until("the engine has ended the request", TIMEOUT_MS, {
    holds: async () => (await executions()).at(-1)?.finishedAt !== null,
  });
});

test("a full queue refuses at once, with Retry-After", async () => {
  const disconnect = new AbortController();
  const calls = Array.from({ length: 12 }, (_, index) =>
    chat({
      url: url(""),
      key: KEY,
      model: "desk-model",
      prompt: `Long ${index}`,
      maxTokens: 4_000,
      stream: true,
      signal: disconnect.signal,
    }),
  );
  const first = await Promise.race(calls);
  assert.equal(first.status, 429);
  assert.equal(first.outcome, "not-run");
  assert.match(first.retryAfter, /^\d+$/);
  disconnect.abort();
  await Promise.all(calls);
});

test("a deadline that passes while waiting is told as not-run", async () => {
  await until("the router is idle", TIMEOUT_MS, {
    holds: async () =>
      (await fleet.status(fleet.routers[0] as Member))?.open === 0,
  });
  await until("the engine is idle", TIMEOUT_MS, {
    holds: async () =>
      (await executions()).every(({ finishedAt }) => finishedAt !== null),
  });
  const disconnect = new AbortController();
  const fill = Array.from({ length: 3 }, (_, index) =>
    chat({
      url: url(""),
      key: KEY,
      model: "desk-model",
      prompt: `Fill ${index}`,
      maxTokens: 4_000,
      stream: true,
      signal: disconnect.signal,
    }),
  );
  await until("the engine is full", TIMEOUT_MS, {
    holds: async () => {
      const open = (await executions()).filter(
        ({ finishedAt }) => finishedAt === null,
      );
      return open.length >= 3;
    },
  });
  const late = await send(
    url("/v1/chat/completions"),
    post(chatBody(), { "oriole-deadline-ms": "200" }),
  );
  assert.equal(late.status, 504);
  assert.equal(late.outcome, "not-run");
  disconnect.abort();
  await Promise.all(fill);
});

test("operators' endpoints need the operator's key", async () => {
  const admin = fleet.routers[0]?.adminUrl;
  for (const path of ["/metrics", "/status", "/burn"]) {
    const refused = await request(`${admin}${path}`);
    assert.equal(refused.statusCode, 401);
    await refused.body.text();
  }
  const ready = await request(`${admin}/readyz`);
  assert.equal(ready.statusCode, 200);
  await ready.body.text();
});
