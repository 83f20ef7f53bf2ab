/** Servers in trouble whose responses have a status that HTTP doesn't know. */

import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { request } from "undici";
import type { Route } from "../../src/routing/mod.ts";
import type {
  ReceivedRequest,
  Script,
} from "../../stand_ins/scripted_server.ts";
import { createConfiguration, createRoute } from "../support/routes.ts";
import {
  createRouterFixture,
  type RouterFixture,
  respondCompletely,
  serverHeaders,
} from "./fixture.ts";

const EVENT = "id: 1\ndata: a\n\n";
/** Outside the range 100 to 599 of RFC 9110, section 15. */
const INVALID_STATUSES = ["000", "099", "600", "999"];
const NOT_RUN = "X-Not-Executed: 1\r\n";

let fixture: RouterFixture;

afterEach(async () => {
  await fixture.close();
});

const ROUTES: Readonly<Record<string, Partial<Route>>> = {
  ticket: { repetition: "non-idempotent" },
  lookup: { repetition: "idempotent" },
  stream: { repetition: "non-idempotent", streaming: true },
  "resumable stream": { repetition: "resumable", streaming: true },
};

const bodies = {
  "a length": `Content-Length: ${EVENT.length}\r\n\r\n${EVENT}`,
  chunks: `Transfer-Encoding: chunked\r\n\r\nf\r\n${EVENT}\r\n0\r\n\r\n`,
  neither: `Connection: close\r\n\r\n${EVENT}`,
};

function respondWith(status: string, rest: string): Script {
  return (received: ReceivedRequest) => {
    const head = `HTTP/1.1 ${status} Odd\r\n${serverHeaders(received)}`;
    received.socket.write(`${head}${rest}`);
    if (rest === bodies.neither) received.socket.end();
  };
}

async function start(route: Partial<Route>, scripts: Script[]): Promise<void> {
  const routes = [createRoute({ maxAttempts: 1, ...route })];
  const configuration = createConfiguration({ routes });
  fixture = await createRouterFixture({ configuration, scripts });
}

async function call() {
  const response = await request(`http://127.0.0.1:${fixture.port}/lookup/1`, {
    headers: { host: "desk.example", "x-attempt-id": "id" },
  });
  const text = await response.body.text();
  const seal = response.headers["x-response-seal"];
  return { status: response.statusCode, text, seal };
}

// Guards against callers that get a response with an invalid status as an answer.
for (const status of INVALID_STATUSES) {
  for (const [kind, route] of Object.entries(ROUTES))
    for (const [framing, body] of Object.entries(bodies))
      test(`status ${status} of a ${kind} with ${framing} is a broken response`, async () => {
        await start(route, [respondWith(status, body)]);
        const result = await call();
        assert.equal(result.status, 502);
        assert.equal(result.seal, undefined);
        assert.ok(!result.text.includes(EVENT));
      });

  test(`status ${status} makes no promise that the request didn't run`, async () => {
    const body = `${NOT_RUN}${bodies["a length"]}`;
    const script = respondWith(status, body);
    await start({ ...ROUTES.ticket, maxAttempts: 2 }, [script, script]);
    assert.equal((await call()).status, 502);
    const received = fixture.servers.flatMap(({ requests }) => requests);
    assert.equal(received.length, 1);
  });

  test(`a lookup is repeated after the status ${status}`, async () => {
    let calls = 0;
    const script: Script = (received) => {
      calls += 1;
      if (calls > 1) respondCompletely(received);
      else respondWith(status, bodies["a length"])(received);
    };
    await start({ ...ROUTES.lookup, maxAttempts: 2 }, [script, script]);
    const { status: received, text } = await call();
    assert.deepEqual([received, text], [200, "fine"]);
  });
}
