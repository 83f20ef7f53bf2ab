/** Documents in chunks: whole again, and a change costs one chunk. */

import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type ChunkedDocument,
  cut,
  nameOf,
} from "../../src/configuration/chunk.ts";
import { ChunkCache } from "../../src/configuration/chunk_cache.ts";
import { type Document, hashKey } from "../../src/configuration/mod.ts";
import { deskDeployment } from "../../tools/fleet/deployments.ts";

const MANY_TEAMS = 17_000;

function createDocument(teams: number): Document {
  const { document } = deskDeployment();
  return {
    ...document,
    teams: Array.from({ length: teams }, (_, index) => ({
      name: `team-${index}`,
      keyHash: hashKey(`key ${index}`),
      contract: "small",
    })),
  };
}

function createCache({ texts }: ChunkedDocument): ChunkCache {
  const cache = new ChunkCache();
  cache.add(texts.values());
  return cache;
}

function changed(before: Document, after: Document): number {
  const known = new Set(cut(before).list.names);
  return cut(after).list.names.filter((name) => !known.has(name)).length;
}

test("a document is whole again after it was cut", () => {
  for (const teams of [0, 1, 500]) {
    const document = createDocument(teams);
    const chunked = cut(document);
    const whole = createCache(chunked).document(chunked.list);
    assert.deepEqual(whole._unsafeUnwrap(), document);
  }
});

test("a missing chunk is named", () => {
  const { list, texts } = cut(createDocument(500));
  const [, lost = ""] = list.names;
  const rest = new Map([...texts].filter(([name]) => name !== lost));
  const cache = createCache({ list, texts: rest });
  assert.deepEqual(cache.missing(list), [lost]);
  const [finding] = cache.document(list)._unsafeUnwrapErr();
  assert.equal(finding?.message, `Chunk ${lost} is missing`);
});

test("a chunk of the wrong shape is refused", () => {
  const { list, texts } = cut(createDocument(500));
  const cache = createCache({ list, texts });
  for (const text of ['[{"name":"only-a-name"}]', "no JSON"]) {
    cache.add([text]);
    const names = [...list.names, nameOf(text)];
    assert.ok(cache.document({ names }).isErr());
  }
});

test("versions share the teams of chunks that did not change", () => {
  const before = createDocument(500);
  const teams = before.teams.map((team, index) =>
    index === 0 ? { ...team, contract: "large" } : team,
  );
  const [first, second] = [cut(before), cut({ ...before, teams })];
  const cache = createCache(first);
  const old = cache.document(first.list)._unsafeUnwrap();
  cache.add(second.texts.values());
  const renewed = cache.document(second.list)._unsafeUnwrap();
  assert.equal(renewed.teams[0]?.contract, "large");
  assert.equal(renewed.teams.at(-1), old.teams.at(-1));
});

test("a change of one of many teams changes one chunk", () => {
  const before = createDocument(MANY_TEAMS);
  const teams = before.teams.map((team, index) =>
    index === 9_000 ? { ...team, contract: "large" } : team,
  );
  assert.equal(changed(before, { ...before, teams }), 1);
});

test("a team more in the middle changes two chunks at the most", () => {
  const before = createDocument(MANY_TEAMS);
  const more = { name: "newcomer", keyHash: hashKey("new"), contract: "small" };
  const teams = before.teams.toSpliced(5_000, 0, more);
  assert.ok(changed(before, { ...before, teams }) <= 2);
});

test("every object stays far below a megabyte with many teams", () => {
  const { list, texts } = cut(createDocument(MANY_TEAMS));
  const sizes = [...texts.values(), JSON.stringify(list)].map((text) =>
    Buffer.byteLength(text),
  );
  assert.ok(Math.max(...sizes) < 256 * 1024);
});
