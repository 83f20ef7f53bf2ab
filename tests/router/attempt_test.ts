/** What the router keeps of a response that its caller hasn't taken yet. */

import assert from "node:assert/strict";
import { test } from "node:test";
import type { RunRequest } from "../../src/protocol/mod.ts";
import { Attempt } from "../../src/router/attempt.ts";

/** As many one-byte pieces as a side process sends unacknowledged. */
const SMALL_PIECES = 256 * 1024;

function createRun(): RunRequest {
  return {
    ...{ type: "run", attempt: "a", grant: 0, team: "porters", kind: "desk" },
    ...{ method: "GET", path: "/", headers: [], body: new Uint8Array() },
    ...{ idempotent: false, idempotencyKey: "", remainingMs: 1_000 },
    ...{ costHint: 0, waiting: 0 },
  };
}

// Guards against a bound of bytes whose pieces, an object each, take far more.
test("small pieces that wait for the caller are joined", async () => {
  const attempt = new Attempt(createRun(), "start-1");
  attempt.receive({ type: "head", attempt: "a", status: 200, headers: [] });
  for (let offset = 0; offset < SMALL_PIECES; offset += 1) {
    const bytes = Buffer.from([offset % 256]);
    attempt.receive({ type: "data", attempt: "a", offset, bytes });
  }
  attempt.receive({ type: "end", attempt: "a", offset: SMALL_PIECES });
  let received = 0;
  let events = 0;
  for await (const event of attempt.events) {
    events += 1;
    if (event.type !== "data") continue;
    assert.equal(event.offset, received);
    for (const byte of event.bytes) {
      assert.equal(byte, received % 256);
      received += 1;
    }
  }
  assert.equal(received, SMALL_PIECES);
  assert.ok(events <= SMALL_PIECES / 512, `${events} events`);
});
