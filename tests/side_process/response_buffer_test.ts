/** Response buffer: a resume returns exactly the bytes that are missing. */

import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { ResponseBuffer } from "../../src/side_process/response_buffer.ts";

const SEED = 4714;

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
