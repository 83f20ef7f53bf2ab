/**
 * Streams whose router and admission controllers are killed: nobody remembers
 * where they began, and callers take them up at a router that runs on.
 */

import assert from "node:assert/strict";
import { once } from "node:events";
import { afterEach, test } from "node:test";
import { request } from "undici";
import type { Script } from "../../stand_ins/scripted_server.ts";
import { startStream } from "../direct/fixture.ts";
import {
  call,
  type Program,
  ProgramFleet,
  type RunningRouter,
  waitForEvent,
} from "./program_fixture.ts";
import {
  createWireConfiguration,
  createWireRoute,
} from "./wire_configuration.ts";

/** Longer than the test, so that no router's own history reaches back so far. */
const TIMEOUT_MS = 60_000;
const STREAMS = 4;

let fleet: ProgramFleet;

afterEach(() => fleet.close());

/** Starts a stream that doesn't end, or ends one that is taken up. */
function serveStream(version: string): Script {
  return (received) => {
    const lastId = received.headers["last-event-id"];
    if (lastId === undefined) {
      startStream(received, `id: 1\ndata: ${version}\n\n`);
      return;
    }
    startStream(received, `id: 2\ndata: ${version}\n\n`);
    received.socket.write("0\r\n\r\n");
  };
}

async function startFleet(): Promise<void> {
  const route = createWireRoute({ streamResume: true, timeoutMs: TIMEOUT_MS });
  fleet = await ProgramFleet.start({
    configuration: createWireConfiguration({ routes: [route] }),
  });
}

async function begin({ port }: RunningRouter, id: string): Promise<void> {
  const response = await request(`http://127.0.0.1:${port}/a/x`, {
    headers: {
      ...{ host: "desk.example", authorization: "Token k" },
      ...{ "x-attempt-id": id, "x-deadline-ms": "30000" },
    },
  });
  response.body.on("error", () => {});
  await once(response.body, "data");
}

async function kill({ process: child }: Program): Promise<void> {
  const ended = once(child, "exit");
  child.kill("SIGKILL");
  await ended;
}

async function takeUp(router: RunningRouter, resumes: string) {
  const headers = { "last-event-id": "1", resumes };
  return await call(router, { headers });
}

// Guards against streams that are lost for good though their service has had one
// version all the time.
test("forgotten streams go on at the only version", async () => {
  await startFleet();
  await fleet.addServer(serveStream("v1"), { service: "m" });
  // Another service's versions are no reason to refuse.
  const other = await fleet.addServer(serveStream("v8"), { version: "v8" });
  fleet.announce(other, { version: "v9" });
  const admission = await fleet.startAdmission();
  const first = await fleet.startRouter();
  const second = await fleet.startRouter();
  for (const router of [first, second])
    await waitForEvent(router, "gate-connected");
  for (let index = 0; index < STREAMS; index += 1)
    await begin(first, `stream-${index}`);
  await Promise.all([first, admission].map(kill));
  for (let index = 0; index < STREAMS; index += 1) {
    const { status, text } = await takeUp(second, `stream-${index}`);
    assert.equal(status, 200);
    assert.equal(text, "id: 2\ndata: v1\n\n");
  }
});

for (const history of ["kept", "discarded"] as const) {
  // Guards against streams that hold events of two versions.
  test(`forgotten streams end after their version was replaced, history ${history}`, async () => {
    await startFleet();
    const server = await fleet.addServer(serveStream("v1"), { service: "m" });
    const first = await fleet.startRouter();
    await begin(first, "stream");
    server.script = serveStream("v2");
    fleet.announce(server, { service: "m", version: "v2", born: 2 });
    if (history === "discarded") fleet.store.compactHistory();
    await kill(first);
    const second = await fleet.startRouter();
    assert.equal((await takeUp(second, "stream")).status, 503);
    assert.equal(server.requests.length, 1);
  });
}
