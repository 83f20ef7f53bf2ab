/** Requests that wait to be sent again share one retry budget. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { ScriptedServer } from "../../stand_ins/scripted_server.ts";
import { until } from "../../tools/fleet/until.ts";
import { createConfiguration, createRoute } from "../support/routes.ts";
import {
  announceServer,
  createRouterFixture,
  letOtherTasksRun,
  neverRespond,
} from "./fixture.ts";
import { callRaw } from "./raw_caller.ts";

const TIMEOUT_MS = 10_000;
const OBJECTIVE_MS = 500;
/** Places of one server for this router. */
const PLACES = 2;
const REQUESTS = 12;
const ALLOWED_RETRIES = 5;

test("requests that wait for a second server stay within the retry budget", async () => {
  const script = neverRespond;
  const others = Array.from(
    { length: REQUESTS },
    () => new ScriptedServer(script),
  );
  const fixture = await createRouterFixture({
    configuration: createConfiguration({
      routes: [createRoute({ objectiveMs: OBJECTIVE_MS })],
    }),
    scripts: Array.from({ length: REQUESTS / PLACES }, () => script),
    retries: { ratio: 0, windowSeconds: 10, slack: ALLOWED_RETRIES },
  });
  const responses: Promise<unknown>[] = [];
  try {
    for (const server of others) await server.listen();
    for (let index = 0; index < REQUESTS; index += 1) {
      const headers = { "x-attempt-id": `id-${index}` };
      responses.push(callRaw(fixture.port, { headers }));
    }
    await until("requests wait for another server", TIMEOUT_MS, {
      holds: () => fixture.router.waiting > 0,
    });
    await letOtherTasksRun();
    for (const [index, { port }] of others.entries()) {
      announceServer(fixture.router, `other-${index}`, port);
    }
    await letOtherTasksRun();
  } finally {
    for (const server of others) server.crash();
    await fixture.close();
  }
  await Promise.all(responses);
  const retries = others.flatMap(({ requests }) => requests).length;
  assert.ok(retries <= ALLOWED_RETRIES, `${retries} retries`);
});
