/** Response buffer: a resume returns exactly the bytes that are missing. */

import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { ResponseBuffer } from "../../src/side_process/response_buffer.ts";

const SEED = 4714;
/** As many one-byte pieces as may wait for their acknowledgement. */
const SMALL_PIECES = 256 * 1024;

test("returns the bytes after any offset, once and in order", () => {
  fc.assert(
    fc.property(
      fc.array(fc.uint8Array({ minLength: 1, maxLength: 20 }), {
        minLength: 1,
        maxLength: 20,
      }),
      fc.nat(),
      fc.nat(),
      (chunks, acknowledge, resume) => {
        const buffer = new ResponseBuffer();
        for (const chunk of chunks) buffer.append(Buffer.from(chunk));
        const whole = Buffer.concat(chunks.map((chunk) => Buffer.from(chunk)));
        const acknowledged = acknowledge % (whole.length + 1);
        buffer.acknowledge(acknowledged);
        const from =
          acknowledged + (resume % (whole.length - acknowledged + 1));
        const rest = buffer.from(from) ?? [];
        assert.deepEqual(
          Buffer.concat(rest.map(({ bytes }) => bytes)),
          whole.subarray(from),
        );
        assert.equal(rest[0]?.offset ?? from, from);
      },
    ),
    { seed: SEED },
  );
});

test("returns null for bytes that were acknowledged", () => {
  const buffer = new ResponseBuffer();
  buffer.append(Buffer.from("abcdef"));
  buffer.acknowledge(4);
  assert.equal(buffer.from(2), null);
});

// Guards against a bound of bytes whose pieces, an object each, take far more.
test("small pieces are joined", () => {
  const buffer = new ResponseBuffer();
  buffer.retainUpTo(SMALL_PIECES);
  for (let piece = 0; piece < SMALL_PIECES; piece += 1)
    buffer.append(Buffer.from([piece % 256]));
  const chunks = buffer.from(0) ?? [];
  const kept = Buffer.concat(chunks.map(({ bytes }) => bytes));
  assert.ok(kept.every((byte, at) => byte === at % 256));
  assert.equal(kept.length, SMALL_PIECES);
  assert.ok(chunks.length <= SMALL_PIECES / 512, `${chunks.length} chunks`);
  assert.deepEqual(buffer.retainedBody, kept);
});
