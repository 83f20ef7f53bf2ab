/** Bytes that arrive in pieces of any size are put together. */

import assert from "node:assert/strict";
import { test } from "node:test";
import * as fc from "fast-check";
import { ByteBuffer } from "../../src/common/byte_buffer.ts";

const LIMIT_BYTES = 300_000;

test("pieces come out as they went in", () => {
  const size = fc.nat({ max: 20_000 });
  fc.assert(
    fc.property(fc.array(size, { maxLength: 15 }), (sizes) => {
      const buffer = new ByteBuffer(LIMIT_BYTES);
      const pieces = sizes.map((size, index) => Buffer.alloc(size, index + 1));
      for (const piece of pieces) buffer.append(piece);
      assert.ok(buffer.bytes.equals(Buffer.concat(pieces)));
    }),
    { seed: 52, numRuns: 50 },
  );
});

test("memory stays within twice the bytes, and is freed at once", () => {
  const buffer = new ByteBuffer(LIMIT_BYTES);
  for (let sent = 0; sent < 200_000; sent += 1) buffer.append(Buffer.from("x"));
  assert.ok(buffer.capacityFor(0) <= 2 * buffer.sizeBytes);
  assert.equal(buffer.capacityFor(LIMIT_BYTES - buffer.sizeBytes), LIMIT_BYTES);
  const { bytes } = buffer;
  buffer.free();
  assert.equal(bytes.length, 0);
});
