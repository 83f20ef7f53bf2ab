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
  return { clock, history, apply, sole };
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

test("a complete history reaches back as far as needed", () => {
  const { history, apply, sole } = createHistory();
  apply("joined", "s1", "v1");
  assert.equal(sole(), null);
  history.complete([{ service: "desk", version: "v1" }]);
  assert.equal(sole(), "v1");
});

// Guards against a stream of an old version that goes on at a router that started
// after the version was replaced.
test("a version in the history counts as if it had just left", () => {
  const { clock, history, apply, sole } = createHistory();
  apply("joined", "s2", "v2");
  history.complete([
    { service: "desk", version: "v1" },
    { service: "desk", version: "v2" },
  ]);
  assert.equal(sole(), null);
  clock.advance(FOR_MS);
  assert.equal(sole(), null);
  clock.advance(1);
  assert.equal(sole(), "v2");
});

test("versions of another service don't matter", () => {
  const { history, apply, sole } = createHistory();
  apply("joined", "s1", "v1");
  history.complete([{ service: "letters", version: "v9" }]);
  assert.equal(sole(), "v1");
});

test("a history with a gap begins anew", () => {
  const { clock, history, apply, sole } = createHistory();
  apply("joined", "s1", "v1");
  history.complete([]);
  history.restart();
  assert.equal(sole(), null);
  clock.advance(FOR_MS);
  assert.equal(sole(), "v1");
});
