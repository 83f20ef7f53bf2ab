/**
 * Guards against dropping live servers when a registry outage has let their
 * entries lapse, and against taking a restarted server for the old one.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import {
  REGISTRATION_GRACE_MS,
  ServerDirectory,
} from "../../src/directory/mod.ts";
import { createManualClock } from "../support/manual_clock.ts";
import { createServer } from "../support/servers.ts";

function createDirectory() {
  const clock = createManualClock();
  const directory = new ServerDirectory(clock);
  const changes: string[] = [];
  directory.onChange(({ type, server }) =>
    changes.push(`${type} ${server.id}`),
  );
  return { clock, directory, changes };
}

test("a server is dropped at once when its entry is removed", () => {
  const { directory, changes } = createDirectory();
  directory.put(createServer());
  directory.remove("s1");
  assert.deepEqual(changes, ["joined s1", "left s1"]);
});

test("a restarted server with the same id leaves and joins again", () => {
  const { directory, changes } = createDirectory();
  directory.put(createServer());
  directory.put(createServer({ startedAtMs: 200 }));
  assert.deepEqual(changes, ["joined s1", "left s1", "joined s1"]);
});

test("a server that lapsed in an outage is kept for the grace period", () => {
  const { clock, directory, changes } = createDirectory();
  directory.put(createServer());
  directory.noteOutage();
  clock.advance(5_000);
  directory.noteRecovery();
  directory.replaceAll([]);
  clock.advance(REGISTRATION_GRACE_MS - 1);
  directory.sweep();
  assert.deepEqual(changes, ["joined s1"]);
  clock.advance(1);
  directory.sweep();
  assert.deepEqual(changes, ["joined s1", "left s1"]);
});

test("a server that registers again within the grace period stays", () => {
  const { clock, directory, changes } = createDirectory();
  directory.put(createServer());
  directory.noteOutage();
  directory.noteRecovery();
  directory.replaceAll([]);
  directory.put(createServer());
  clock.advance(REGISTRATION_GRACE_MS * 2);
  directory.sweep();
  assert.deepEqual(changes, ["joined s1", "changed s1"]);
});

test("a server whose entry a restored registry has lost is kept for a while", () => {
  const { clock, directory, changes } = createDirectory();
  directory.put(createServer());
  directory.noteRestore();
  directory.replaceAll([]);
  directory.put(createServer());
  clock.advance(REGISTRATION_GRACE_MS);
  directory.sweep();
  assert.deepEqual(changes, ["joined s1", "changed s1"]);
});

/** Returns a directory in which a server that had left is listed again. */
function createRestoredDirectory() {
  const fixture = createDirectory();
  const { clock, directory } = fixture;
  directory.put(createServer());
  directory.remove("s1");
  clock.advance(1_000);
  directory.noteRestore();
  directory.replaceAll([createServer()]);
  return fixture;
}

test("a server that had left doesn't come back from a restored entry", () => {
  const { clock, directory, changes } = createRestoredDirectory();
  clock.advance(4_000);
  directory.sweep();
  directory.remove("s1");
  clock.advance(10_000);
  directory.sweep();
  assert.deepEqual(changes, ["joined s1", "left s1"]);
});

test("a server whose restored entry doesn't lapse comes back", () => {
  const { clock, directory, changes } = createRestoredDirectory();
  clock.advance(6_000);
  directory.sweep();
  assert.deepEqual(changes, ["joined s1", "left s1", "joined s1"]);
});

test("a server that drains isn't made ready by a restored entry", () => {
  const { directory } = createDirectory();
  const states: string[] = [];
  directory.onChange(({ server }) => states.push(server.state));
  directory.put(createServer({ state: "draining" }));
  directory.noteRestore();
  directory.replaceAll([createServer()]);
  assert.deepEqual(states, ["draining", "draining"]);
});
