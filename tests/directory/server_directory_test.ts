/** Which servers are used around restarts and outages of the registry. */

import assert from "node:assert/strict";
import { test } from "node:test";
import {
  REGISTRATION_GRACE_MS,
  ServerDirectory,
} from "../../src/directory/mod.ts";
import { createClock } from "../support/manual_clock.ts";
import { createServer } from "../support/servers.ts";

function createDirectory() {
  const clock = createClock();
  const directory = new ServerDirectory(clock);
  const told: string[] = [];
  directory.onChange(({ type, server }) => told.push(`${type} ${server.id}`));
  return { clock, directory, told };
}

test("a server whose entry ends leaves at once", () => {
  const { directory, told } = createDirectory();
  directory.put(createServer());
  directory.remove("s1");
  assert.deepEqual(told, ["joined s1", "left s1"]);
});

test("a server that starts again under its id joins anew", () => {
  const { directory, told } = createDirectory();
  directory.put(createServer());
  directory.put(createServer({ startedAtMs: 200 }));
  assert.deepEqual(told, ["joined s1", "left s1", "joined s1"]);
});

test("an entry that lapsed in an outage holds until its grace is over", () => {
  const { clock, directory, told } = createDirectory();
  directory.put(createServer());
  directory.noteOutage();
  clock.pass(5_000);
  directory.noteReturn();
  directory.replaceAll([]);
  clock.pass(REGISTRATION_GRACE_MS - 1);
  directory.sweep();
  assert.deepEqual(told, ["joined s1"]);
  clock.pass(1);
  directory.sweep();
  assert.deepEqual(told, ["joined s1", "left s1"]);
});

test("a server that registers again within its grace stays", () => {
  const { clock, directory, told } = createDirectory();
  directory.put(createServer());
  directory.noteOutage();
  directory.noteReturn();
  directory.replaceAll([]);
  directory.put(createServer());
  clock.pass(REGISTRATION_GRACE_MS * 2);
  directory.sweep();
  assert.deepEqual(told, ["joined s1", "changed s1"]);
});
