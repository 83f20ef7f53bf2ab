/** Signals that come once more while a program shuts down. */

import assert from "node:assert/strict";
import { once } from "node:events";
import { afterEach, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import type { ReceivedRequest } from "../../stand_ins/scripted_server.ts";
import { until } from "../../tools/fleet/until.ts";
import { respondCompletely } from "../direct/fixture.ts";
import { call, ProgramFleet } from "./program_fixture.ts";
import {
  createWireConfiguration,
  createWireRoute,
} from "./wire_configuration.ts";

const CALLERS = 4;
/** Longer than the signals take, well within the grace period. */
const WORK_MS = 1_200;
const SIGNAL_INTERVAL_MS = 200;
const TIMEOUT_MS = 5_000;

let fleet: ProgramFleet;

afterEach(async () => {
  await fleet.close();
});

const series = {
  "a second SIGTERM": ["SIGTERM", "SIGTERM"],
  "SIGINT after SIGTERM": ["SIGTERM", "SIGINT", "SIGINT"],
  "SIGTERM after SIGINT": ["SIGINT", "SIGTERM", "SIGTERM"],
  "a reload between two": ["SIGTERM", "SIGHUP", "SIGTERM"],
} as const;

// Guards against a shutdown that a second signal ends at once, with requests that
// servers are running.
for (const [name, signals] of Object.entries(series)) {
  test(`${name} doesn't cut requests`, async () => {
    const route = createWireRoute({
      ...{ kind: "non_idempotent", service: "n", authExempt: true },
      maxAttempts: 1,
    });
    fleet = await ProgramFleet.start({
      configuration: createWireConfiguration({ routes: [route] }),
    });
    const respondLater = (request: ReceivedRequest) => {
      setTimeout(() => respondCompletely(request), WORK_MS);
    };
    const server = await fleet.addServer(respondLater, { slots: 64 });
    const router = await fleet.startRouter();
    const responses = Array.from({ length: CALLERS }, () => call(router));
    const settled = Promise.allSettled(responses);
    await until("the server runs all requests", TIMEOUT_MS, {
      holds: () => server.requests.length === CALLERS,
    });
    const ended = once(router.process, "exit");
    for (const signal of signals) {
      router.process.kill(signal);
      await delay(SIGNAL_INTERVAL_MS);
    }
    const statuses = (await settled).map((one) =>
      one.status === "fulfilled" ? one.value.status : one.reason,
    );
    assert.deepEqual(statuses, Array(CALLERS).fill(200));
    assert.deepEqual(await ended, [0, null]);
  });
}
