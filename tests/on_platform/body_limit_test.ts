/** Limits of bodies that no page bounds, raised while requests are served. */

import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { request } from "undici";
import { until } from "../../tools/fleet/until.ts";
import {
  eventsOf,
  ProgramFleet,
  respondWith,
  waitForEvent,
} from "./program_fixture.ts";
import {
  createWireConfiguration,
  createWireRoute,
} from "./wire_configuration.ts";

const TIMEOUT_MS = 10_000;
const BODY = "x".repeat(300_000);
const LIMITS_BYTES = [4 * 2 ** 20, 2 ** 32, 5 * 2 ** 30, 2 ** 53, 1e300];

let fleet: ProgramFleet;

afterEach(() => fleet.close());

function configure(version: number, maxBodyBytes: number): object {
  const route = createWireRoute({ kind: "idempotent", service: "n" });
  const { limits } = createWireConfiguration();
  return createWireConfiguration({
    ...{ version, routes: [route], limits: { ...limits, maxBodyBytes } },
  });
}

// Guards against routers that end at each body of more than 64 KB once an operator
// has raised the limit.
test("bodies are served whatever the limit", async () => {
  fleet = await ProgramFleet.start({ configuration: configure(1, 1_000) });
  await fleet.addServer(respondWith());
  const router = await fleet.startRouter();
  for (const [index, limitBytes] of LIMITS_BYTES.entries()) {
    const version = index + 2;
    fleet.store.put("config", "main", configure(version, limitBytes));
    await until("the configuration is in force", TIMEOUT_MS, {
      holds: () =>
        eventsOf(router, "configuration").at(-1)?.version === version,
    });
    const { statusCode, body } = await request(
      `http://127.0.0.1:${router.port}/a/x`,
      {
        ...{ method: "POST", body: BODY },
        headers: {
          ...{ host: "desk.example", authorization: "Token k" },
          ...{ "x-attempt-id": `id-${index}`, "x-deadline-ms": "5000" },
        },
      },
    );
    assert.equal(statusCode, 200, `limit of ${limitBytes} bytes`);
    assert.equal(await body.text(), "fine");
  }
  assert.equal(router.process.exitCode, null);
  assert.equal(router.process.signalCode, null);
  await waitForEvent(router, "start");
});
