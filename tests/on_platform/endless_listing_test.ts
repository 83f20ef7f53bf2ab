/** An engine whose cache listing has no end, beside its admission controller. */

import assert from "node:assert/strict";
import { readFile } from "node:fs/promises";
import { afterEach, test } from "node:test";
import { until } from "../../tools/fleet/until.ts";
import { writeEndlessly } from "../direct/fixture.ts";
import {
  eventsOf,
  type Program,
  ProgramFleet,
  terminate,
  waitForEvent,
} from "./program_fixture.ts";

/** Memory of the platform's smallest machine with an admission controller. */
const MACHINE_BYTES = 282 * 1000 * 1000;
/** Many times what the longest cache listing of an engine takes. */
const SENT_BOUND_BYTES = 64 * 1024 * 1024;
const CLOSE_TIMEOUT_MS = 5_000;

let fleet: ProgramFleet;

afterEach(async () => {
  await fleet.close();
});

/** Highest resident memory of a process so far. */
async function peakBytesOf({ process: child }: Program): Promise<number> {
  const status = await readFile(`/proc/${child.pid}/status`, "utf8");
  const [, kilobytes = "0"] = /^VmHWM:\s+(\d+) kB$/m.exec(status) ?? [];
  return Number(kilobytes) * 1024;
}

const OK = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
const LISTING = '{"epoch":1,"next":1,"held":[';
const ENTRY = '["","5c1e07a2",800,"m"],';
const chunkOf = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;

const listings = {
  "without a length": { start: `${OK}\r\n${LISTING}`, piece: ENTRY },
  "in chunks": {
    start: `${OK}Transfer-Encoding: chunked\r\n\r\n${chunkOf(LISTING)}`,
    piece: chunkOf(ENTRY),
  },
  "of a failure": { start: "HTTP/1.1 500 No\r\n\r\n", piece: "garbage " },
  "in a head": { start: `${OK}X-A: `, piece: "b" },
};

// Guards against an admission controller that runs out of memory and takes the
// requests of all its engine's callers with it.
for (const [kind, sent] of Object.entries(listings)) {
  test(`a cache listing without end ${kind} is given up`, async () => {
    fleet = await ProgramFleet.start();
    const server = await fleet.addServer((received) =>
      writeEndlessly(received, sent),
    );
    const admission = await fleet.startAdmission();
    await waitForEvent(admission, "cache-unknown");
    const [{ socket } = assert.fail()] = server.requests;
    await until("the connection is closed", CLOSE_TIMEOUT_MS, {
      holds: () => socket.destroyed,
    });
    assert.ok(socket.bytesWritten < SENT_BOUND_BYTES);
    assert.ok((await peakBytesOf(admission)) < MACHINE_BYTES);
    assert.equal(admission.process.exitCode, null);
    assert.deepEqual(await terminate(admission), [0, null]);
  });
}

/** As in the deploy file. */
const NODE_FLAGS = ["--max-old-space-size=96"];
const LISTING_BYTES = 4 * 1024 * 1024;

// Guards against an admission controller that bounds the bytes of a listing, but
// not the objects that are made of them, and runs out of memory.
for (const [kind, text] of [
  ["empty objects", `${LISTING}${"{},".repeat(1_398_000)}[]]}`],
  ["nested lists", `${"[".repeat(2_097_000)}${"]".repeat(2_097_000)}`],
] as const) {
  test(`a cache listing of ${kind} is given up`, async () => {
    assert.ok(text.length <= LISTING_BYTES);
    fleet = await ProgramFleet.start();
    await fleet.addServer(({ socket }) => {
      socket.write(`${OK}Content-Length: ${text.length}\r\n\r\n${text}`);
    });
    const admission = await fleet.startAdmission({ nodeFlags: NODE_FLAGS });
    await waitForEvent(admission, "cache-unknown");
    assert.ok((await peakBytesOf(admission)) < MACHINE_BYTES);
    assert.deepEqual(await terminate(admission), [0, null]);
  });
}

test("a long cache listing is read whole", async () => {
  const parts = 50_000;
  const held = Array.from({ length: parts }, (_, index) => [
    ...["", index.toString(16).padStart(8, "0"), 100, "m"],
  ]);
  fleet = await ProgramFleet.start();
  await fleet.addServer(({ socket }) => {
    const body = JSON.stringify({ epoch: 1, next: 1, held });
    socket.write(`${OK}Content-Length: ${body.length}\r\n\r\n${body}`);
  });
  const admission = await fleet.startAdmission();
  await waitForEvent(admission, "cache-listed");
  assert.equal(eventsOf(admission, "cache-unknown").length, 0);
});
