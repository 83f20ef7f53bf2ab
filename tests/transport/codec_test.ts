/** Decoding of frames and messages that are split, random or truncated. */

import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { fieldNumbers, type Message } from "../../src/protocol/mod.ts";
import * as codec from "../../src/transport/codec.ts";
import {
  FrameDecoder,
  LENGTH_BYTES,
} from "../../src/transport/frame_decoder.ts";

const SEED = 4712;
const LIMIT_BYTES = 1_000_000;

function createData(attempt: string, bytes: Uint8Array): Message {
  return { type: "data", attempt, offset: 7, bytes: Buffer.from(bytes) };
}

const message = fc
  .tuple(fc.string({ maxLength: 50 }), fc.uint8Array({ maxLength: 500 }))
  .map(([attempt, bytes]) => createData(attempt, bytes));

function cutAt(bytes: Buffer, cuts: readonly number[]): Buffer[] {
  const places = cuts.map((cut) => cut % (bytes.length + 1));
  const ends = [...places, bytes.length].sort((a, b) => a - b);
  return ends.map((end, index) => bytes.subarray(ends[index - 1] ?? 0, end));
}

test("messages decode from a byte stream split at any positions", () => {
  fc.assert(
    fc.property(
      fc.array(message, { maxLength: 10 }),
      fc.array(fc.nat(), { maxLength: 20 }),
      (messages, cuts) => {
        const stream = Buffer.concat(messages.map(codec.encode));
        const decoder = new FrameDecoder(LIMIT_BYTES);
        const payloads = cutAt(stream, cuts).flatMap((piece) =>
          decoder.push(piece)._unsafeUnwrap(),
        );
        const decoded = payloads.map((payload) =>
          codec.decode(payload)._unsafeUnwrap(),
        );
        assert.deepEqual(decoded, messages);
      },
    ),
    { seed: SEED },
  );
});

test("random bytes are rejected without an exception", () => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 300 }), (bytes) => {
      const decoded = codec.decode(Buffer.from(bytes));
      assert.ok(decoded.isErr());
    }),
    { seed: SEED, numRuns: 2_000 },
  );
});

test("truncated messages are rejected", () => {
  const payload = codec
    .encode(createData("attempt", Buffer.from("bytes")))
    .subarray(LENGTH_BYTES);
  for (let length = 0; length < payload.length; length += 1) {
    assert.ok(codec.decode(payload.subarray(0, length)).isErr());
  }
});

test("an oversized frame is rejected by its length field alone", () => {
  const frame = Buffer.alloc(LENGTH_BYTES);
  frame.writeUInt32BE(LIMIT_BYTES + 1);
  assert.ok(new FrameDecoder(LIMIT_BYTES).push(frame).isErr());
});

test("every field name has a unique number", () => {
  const numbers = Object.values(fieldNumbers);
  assert.equal(new Set(numbers).size, numbers.length);
});
