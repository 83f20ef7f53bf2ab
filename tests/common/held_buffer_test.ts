/** Buffers whose memory counts as held by a peer. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { HeldBuffer } from "../../src/common/held_buffer.ts";
import { HeldBytes } from "../../src/common/held_bytes.ts";
import { createManualClock } from "../support/manual_clock.ts";

const LIMIT_BYTES = 100_000;

function createLedger(limitBytes = 1_000_000): HeldBytes {
  return new HeldBytes(createManualClock(), { limitBytes });
}

function createBuffer(held: HeldBytes, onYield?: () => void): HeldBuffer {
  return new HeldBuffer(held, {
    ...{ kind: "response", group: "s1", limitBytes: LIMIT_BYTES },
    ...(onYield === undefined ? {} : { onYield }),
  });
}

test("pieces come out in order, and their memory is counted and freed", () => {
  const held = createLedger();
  const buffer = createBuffer(held);
  for (let piece = 0; piece < 50_000; piece += 1)
    assert.equal(buffer.append(Buffer.from([piece % 256])), "kept");
  assert.ok(held.totalBytes >= 50_000 && held.totalBytes <= LIMIT_BYTES);
  const bytes = buffer.take(Buffer.from("end"));
  assert.equal(bytes.length, 50_003);
  assert.ok(bytes.subarray(0, 50_000).every((one, at) => one === at % 256));
  assert.deepEqual([buffer.sizeBytes, held.totalBytes], [0, 0]);
});

test("what isn't kept leaves what is kept as it was", () => {
  const buffer = createBuffer(createLedger(32_000));
  assert.equal(buffer.append(Buffer.from("kept")), "kept");
  assert.equal(buffer.append(Buffer.alloc(LIMIT_BYTES)), "over-limit");
  assert.equal(buffer.append(Buffer.alloc(64_000)), "no-memory");
  assert.equal(buffer.take().toString(), "kept");
});

test("a buffer yields when the others of its group need the memory", () => {
  const held = createLedger(60_000);
  let yields = 0;
  const first = createBuffer(held);
  first.append(Buffer.alloc(10_000));
  const second = createBuffer(held, () => {
    yields += 1;
    second.free();
  });
  second.append(Buffer.alloc(20_000));
  assert.equal(first.append(Buffer.alloc(10_000)), "kept");
  assert.equal(yields, 1);
  assert.equal(second.sizeBytes, 0);
});
