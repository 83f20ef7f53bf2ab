/**
 * Guards against requests that crash servers again and again, and against
 * refusing requests that only ran beside them.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { Quarantine } from "../../src/quarantine/mod.ts";

function createQuarantine(): {
  quarantine: Quarantine;
  advance: (ms: number) => void;
} {
  let nowMs = 0;
  const clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
  const advance = (ms: number) => {
    nowMs += ms;
  };
  return { quarantine: new Quarantine(clock), advance };
}

test("a suspect is refused after its second crash", () => {
  const { quarantine } = createQuarantine();
  quarantine.strike({ crash: "one", fingerprints: ["bad", "beside"] });
  assert.equal(quarantine.trust("bad"), "suspect");
  quarantine.strike({ crash: "two", fingerprints: ["bad"] });
  assert.equal(quarantine.trust("bad"), "refused");
  assert.equal(quarantine.trust("beside"), "suspect");
  assert.equal(quarantine.trust("other"), "innocent");
});

test("a crash reported by several peers counts once", () => {
  const { quarantine } = createQuarantine();
  quarantine.strike({ crash: "one", fingerprints: ["bad"] });
  quarantine.strike({ crash: "one", fingerprints: ["bad"] });
  assert.equal(quarantine.trust("bad"), "suspect");
});

test("a suspect that ends without a crash is cleared", () => {
  const { quarantine } = createQuarantine();
  quarantine.strike({ crash: "one", fingerprints: ["beside"] });
  quarantine.clear("beside");
  assert.equal(quarantine.trust("beside"), "innocent");
});

test("strikes expire after the reported retry delay", () => {
  const { quarantine, advance } = createQuarantine();
  quarantine.strike({ crash: "one", fingerprints: ["bad"] });
  quarantine.strike({ crash: "two", fingerprints: ["bad"] });
  const retryAfterMs = quarantine.retryAfterMs("bad");
  advance(retryAfterMs + 1);
  quarantine.sweep();
  assert.notEqual(quarantine.trust("bad"), "refused");
});
