/** What callers get from a router that shuts down before they are served. */

import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { until } from "../../tools/fleet/until.ts";
import { createConfiguration, createRoute } from "../support/routes.ts";
import {
  createRouterFixture,
  letOtherTasksRun,
  neverRespond,
  type RouterFixture,
  serverHeaders,
} from "./fixture.ts";
import { callRaw } from "./raw_caller.ts";

const TIMEOUT_MS = 10_000;
/** More than the places of one server for this router. */
const CALLERS = 6;

let fixture: RouterFixture;

afterEach(async () => {
  await fixture.close();
});

test("a stream without a length that is cut at shutdown doesn't look complete", async () => {
  const routes = [
    createRoute({ streaming: true, repetition: "non-idempotent" }),
  ];
  fixture = await createRouterFixture({
    configuration: createConfiguration({ routes }),
    scripts: [
      (received) => {
        const head = `HTTP/1.1 200 OK\r\n${serverHeaders(received)}`;
        received.socket.write(`${head}\r\nid: 1\ndata: a\n\n`);
      },
    ],
  });
  const response = callRaw(fixture.port);
  const isSent = () => fixture.servers[0]?.requests.length === 1;
  await until("the request is sent", TIMEOUT_MS, { holds: isSent });
  await letOtherTasksRun();
  await fixture.router.close();
  const { text, end } = await response;
  assert.match(text, /data: a/);
  assert.equal(end, "reset");
});

test("requests that no server has got are refused, not cut, at shutdown", async () => {
  const routes = [
    createRoute({ objectiveMs: 3_000, repetition: "non-idempotent" }),
  ];
  fixture = await createRouterFixture({
    configuration: createConfiguration({ routes }),
    scripts: [neverRespond],
    graceSeconds: 1,
  });
  const responses = Array.from({ length: CALLERS }, () =>
    callRaw(fixture.port),
  );
  const sent = () => fixture.servers[0]?.requests.length ?? 0;
  await until("requests wait", TIMEOUT_MS, {
    holds: () => fixture.router.waiting + sent() === CALLERS,
  });
  const waiting = CALLERS - sent();
  assert.ok(waiting > 0);
  await fixture.router.close();
  const texts = (await Promise.all(responses)).map(({ text }) => text);
  const refused = texts.filter((text) => text.startsWith("HTTP/1.1 503"));
  assert.equal(refused.length, waiting);
});
