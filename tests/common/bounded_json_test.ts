/** JSON with more values than its reader has memory for. */

import assert from "node:assert/strict";
import { test } from "node:test";
import * as fc from "fast-check";
import { parseBoundedJson } from "../../src/common/bounded_json.ts";

/** Values of a parsed text, names of members included. */
function countValues(value: unknown): number {
  if (typeof value !== "object" || value === null) return 1;
  const counts = Object.values(value).map(countValues);
  const names = Array.isArray(value) ? 0 : counts.length;
  return counts.reduce((sum, count) => sum + count, 1 + names);
}

test("values within the limit are parsed, and more of them refused", () => {
  fc.assert(
    fc.property(fc.json({ noUnicodeString: true }), (text) => {
      const value: unknown = JSON.parse(text);
      const all = parseBoundedJson(text, { values: text.length + 1 });
      assert.deepEqual(all._unsafeUnwrap(), value);
      const values = countValues(value) - 1;
      assert.ok(parseBoundedJson(text, { values }).isErr());
    }),
    { seed: 61, numRuns: 200 },
  );
});

test("a listing at the limit is parsed", () => {
  const text = `[${Array(999).fill("{}").join(",")}]`;
  assert.ok(parseBoundedJson(text, { values: 2_000 }).isOk());
  assert.ok(parseBoundedJson(text, { values: 999 }).isErr());
});

test("a malformed text is refused with a message", () => {
  const parsed = parseBoundedJson("[1,", { values: 10 });
  assert.match(parsed._unsafeUnwrapErr(), /JSON/);
});
