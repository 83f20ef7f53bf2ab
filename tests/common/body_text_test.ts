/** Bodies that are read into memory. */

import assert from "node:assert/strict";
import { Readable } from "node:stream";
import { test } from "node:test";
import { readBodyText } from "../../src/common/body_text.ts";

const LIMIT_BYTES = 64;

test("a body is read over the borders of its chunks", async () => {
  const [first, then] = [Buffer.from("zář").subarray(0, 2), Buffer.from("zář")];
  const body = Readable.from([first, then.subarray(2)]);
  assert.equal(await readBodyText(body, LIMIT_BYTES), "zář");
});

test("a body as long as the limit is read", async () => {
  const body = Readable.from([Buffer.alloc(LIMIT_BYTES, "x")]);
  assert.equal((await readBodyText(body, LIMIT_BYTES)).length, LIMIT_BYTES);
});

// Guards against a peer that sends bytes until its reader is out of memory.
test("a body without end is given up at the limit", async () => {
  let sentBytes = 0;
  const body = new Readable({
    read() {
      sentBytes += 16;
      this.push(Buffer.alloc(16));
    },
    highWaterMark: 16,
  });
  await assert.rejects(readBodyText(body, LIMIT_BYTES), /over 64 bytes/);
  assert.ok(body.destroyed);
  assert.ok(sentBytes < 2 * LIMIT_BYTES);
});
