/** Where streams began: what admission controllers are told, and answer. */

import assert from "node:assert/strict";
import { test } from "node:test";
import type { OriginHolder } from "../../src/direct/origin_queries.ts";
import { StreamOrigins } from "../../src/direct/stream_origins.ts";
import { ServerDirectory, VersionHistory } from "../../src/directory/mod.ts";
import {
  ORIGIN_LIFETIME_MS,
  OriginMemory,
  packOrigin,
  unpackOrigin,
} from "../../src/origins/mod.ts";
import type { OriginAnswer } from "../../src/protocol/mod.ts";
import {
  createManualClock,
  type ManualClock,
} from "../support/manual_clock.ts";
import { createServer } from "../support/servers.ts";
import { events, letOtherTasksRun } from "./fixture.ts";

/** An admission controller that routers can lose and reach again. */
interface Holder {
  readonly id: string;
  memory: OriginMemory;
  /** Messages to it are lost, and its answers. */
  isCut: boolean;
}

function createHolders(clock: ManualClock, count = 3): Holder[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `10.0.1.${index}`,
    memory: new OriginMemory(clock),
    isCut: false,
  }));
}

function createRouter(clock: ManualClock, holders: readonly Holder[]) {
  const directory = new ServerDirectory(clock);
  const connect = ({ id, ...holder }: Holder, index: number): OriginHolder => ({
    id,
    send: (message) => {
      const current = holders[index] ?? { id, ...holder };
      if (current.isCut) return;
      const { request } = message;
      if (message.type === "stream-origin") {
        const record = unpackOrigin(message);
        if (record !== null) current.memory.note(request, record);
        return;
      }
      const packed = packOrigin(current.memory.find(request));
      const answer: OriginAnswer = {
        type: "origin-answer",
        request,
        ...packed,
      };
      setImmediate(() => origins.receive(answer));
    },
  });
  const versions = new VersionHistory(clock);
  directory.onChange((change) => versions.apply(change));
  directory.put(createServer({ id: "s1", version: "v1" }));
  directory.put(createServer({ id: "s2", version: "v2" }));
  const origins: StreamOrigins = new StreamOrigins({
    ...{ clock, events, directory, versions },
    holders: () => holders.map(connect),
  });
  return { origins, directory };
}

function originAt(server: "s1" | "s2") {
  const version = server === "s1" ? "v1" : "v2";
  return { service: "desk", version, server };
}

test("another router finds where a stream began", async () => {
  const clock = createManualClock();
  const holders = createHolders(clock);
  createRouter(clock, holders).origins.noteSend("a", originAt("s1"));
  const { origins } = createRouter(clock, holders);
  assert.equal((await origins.find("a"))?.version, "v1");
  assert.equal(await origins.find("b"), null);
});

test("a beginning is known after the loss of any one controller", async () => {
  for (const lost of [0, 1, 2]) {
    const clock = createManualClock();
    const holders = createHolders(clock);
    createRouter(clock, holders).origins.noteSend("a", originAt("s1"));
    const left = holders.filter((_, index) => index !== lost);
    const { origins } = createRouter(clock, left);
    assert.equal((await origins.find("a"))?.version, "v1");
  }
});

test("controllers that restart one after the other are told again", async () => {
  const clock = createManualClock();
  const holders = createHolders(clock);
  const first = createRouter(clock, holders).origins;
  first.noteSend("a", originAt("s1"));
  for (const holder of holders) {
    holder.memory = new OriginMemory(clock);
    first.handleHolderChange(holder.id);
    await letOtherTasksRun();
  }
  const { origins } = createRouter(clock, holders);
  assert.equal((await origins.find("a"))?.version, "v1");
});

test("a request without an event may go to another version once all know", async () => {
  const clock = createManualClock();
  const holders = createHolders(clock);
  const first = createRouter(clock, holders).origins;
  first.noteSend("a", originAt("s1"));
  assert.equal(await first.boundVersion("a"), null);
  const { origins } = createRouter(clock, holders);
  assert.equal(await origins.find("a"), null);
  first.noteSend("a", originAt("s2"));
  first.noteBeginning("a", originAt("s2"));
  assert.equal((await origins.find("a"))?.version, "v2");
});

test("a request keeps its version while a controller may tell the first", async () => {
  const clock = createManualClock();
  const holders = createHolders(clock);
  const first = createRouter(clock, holders).origins;
  first.noteSend("a", originAt("s1"));
  for (const holder of holders) holder.isCut = true;
  assert.equal(await first.boundVersion("a"), "v1");
  for (const holder of holders) holder.isCut = false;
  const { origins } = createRouter(clock, holders);
  assert.equal((await origins.find("a"))?.version, "v1");
});

test("a beginning at a server that has other software now isn't certain", async () => {
  const clock = createManualClock();
  const { origins, directory } = createRouter(clock, []);
  origins.noteSend("a", originAt("s1"));
  assert.equal((await origins.find("a"))?.version, "v1");
  directory.put(createServer({ id: "s1", version: "v2" }));
  assert.equal(await origins.find("a"), null);
});

test("beginnings are forgotten after a time", () => {
  const clock = createManualClock();
  const memory = new OriginMemory(clock);
  memory.note("a", { type: "ambiguous" });
  clock.advance(ORIGIN_LIFETIME_MS);
  assert.notEqual(memory.find("a"), null);
  clock.advance(1);
  assert.equal(memory.find("a"), null);
  assert.equal(memory.size, 0);
});

test("the number of remembered beginnings is bounded", () => {
  const memory = new OriginMemory(createManualClock());
  for (let count = 0; count < 60_000; count += 1)
    memory.note(`request-${count}`, { type: "ambiguous" });
  assert.equal(memory.size, 50_000);
  assert.equal(memory.find("request-0"), null);
  assert.notEqual(memory.find("request-59999"), null);
});
