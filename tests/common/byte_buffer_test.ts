/** Bytes that arrive in pieces of any size are put together. */

import assert from "node:assert/strict";
import { readFile } from "node:fs/promises";
import { test } from "node:test";
import * as fc from "fast-check";
import { ByteBuffer } from "../../src/common/byte_buffer.ts";

const LIMIT_BYTES = 300_000;
/** Limits that an operator may set, and no buffer may have. */
const LARGE_LIMITS_BYTES = [2 ** 32, 5 * 2 ** 30, 2 ** 53, 1e300];

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

// Guards against bytes that are lost in a buffer that was large before.
test("pieces come out as they went in after a buffer was freed", () => {
  const buffer = new ByteBuffer(LIMIT_BYTES);
  for (let use = 1; use <= 3; use += 1) {
    const pieces = Array.from({ length: 20 }, (_, index) =>
      Buffer.alloc(10_000 + index, use * 20 + index),
    );
    for (const [index, piece] of pieces.entries()) {
      assert.ok(buffer.append(piece));
      const expected = Buffer.concat(pieces.slice(0, index + 1));
      assert.ok(buffer.bytes.equals(expected), `piece ${index} of use ${use}`);
    }
    buffer.free();
  }
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

// Guards against a process that ends at the first large body: the runtime has no
// buffers as long as the limit, and said so by an exception in a listener.
for (const limitBytes of LARGE_LIMITS_BYTES) {
  test(`a limit of ${limitBytes} bytes costs nothing`, async () => {
    const before = await virtualBytes();
    const piece = Buffer.alloc(50_000, "x");
    const buffers = Array.from({ length: 200 }, () => {
      const buffer = new ByteBuffer(limitBytes);
      for (let count = 0; count < 10; count += 1)
        assert.ok(buffer.append(piece));
      return buffer;
    });
    for (const buffer of buffers) {
      assert.equal(buffer.sizeBytes, 10 * piece.length);
      assert.ok(buffer.bytes.every((byte) => byte === piece[0]));
    }
    const receivedBytes = buffers.length * 10 * piece.length;
    const takenBytes = (await virtualBytes()) - before;
    assert.ok(takenBytes < 32 * receivedBytes, `${takenBytes} bytes`);
    for (const buffer of buffers) buffer.free();
  });
}

test("bytes that no buffer can hold are refused", () => {
  const buffer = new ByteBuffer(Number.MAX_SAFE_INTEGER);
  assert.ok(buffer.append(Buffer.from("kept")));
  const tooLong = { length: 2 ** 50 } as unknown as Buffer;
  assert.equal(buffer.append(tooLong), false);
  assert.equal(buffer.bytes.toString(), "kept");
});

/** Address space of this process. */
async function virtualBytes(): Promise<number> {
  const status = await readFile("/proc/self/status", "utf8");
  return Number(/VmSize:\s+(\d+) kB/.exec(status)?.[1]) * 1_024;
}
