/** Which versions a service has had lately. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { VersionHistory } from "../../src/directory/mod.ts";
import { createManualClock } from "../support/manual_clock.ts";
import { createServer } from "../support/servers.ts";

const FOR_MS = 10_000;

function createHistory() {
  const clock = createManualClock();
  const history = new VersionHistory(clock);
  const apply = (type: "joined" | "left", id: string, version: string) =>
    history.apply({ type, server: createServer({ id, version }) });
  const sole = () => history.soleVersion("desk", FOR_MS);
  return { clock, apply, sole };
}

test("the version of all servers is known once the history reaches back", () => {
  const { clock, apply, sole } = createHistory();
  apply("joined", "s1", "v1");
  apply("joined", "s2", "v1");
  clock.advance(FOR_MS - 1);
  assert.equal(sole(), null);
  clock.advance(1);
  assert.equal(sole(), "v1");
});

test("a version counts until long after its last server has left", () => {
  const { clock, apply, sole } = createHistory();
  apply("joined", "s1", "v1");
  apply("joined", "s2", "v2");
  clock.advance(FOR_MS * 2);
  assert.equal(sole(), null);
  apply("left", "s1", "v1");
  clock.advance(FOR_MS);
  assert.equal(sole(), null);
  clock.advance(1);
  assert.equal(sole(), "v2");
});

test("a service without servers has no version", () => {
  const { clock, apply, sole } = createHistory();
  clock.advance(FOR_MS * 2);
  assert.equal(sole(), null);
  apply("joined", "s1", "v1");
  apply("left", "s1", "v1");
  clock.advance(FOR_MS * 2);
  assert.equal(sole(), null);
});
