/** Splitting documents into chunks, and caching the chunks. */

import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type ChunkedDocument,
  chunkNameOf,
  splitDocument,
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

function countNewChunks(before: Document, after: Document): number {
  const known = new Set(splitDocument(before).list.names);
  return splitDocument(after).list.names.filter((name) => !known.has(name))
    .length;
}

test("a document that is split and joined again is unchanged", () => {
  for (const teams of [0, 1, 500]) {
    const document = createDocument(teams);
    const chunked = splitDocument(document);
    const restored = createCache(chunked).document(chunked.list);
    assert.deepEqual(restored._unsafeUnwrap(), document);
  }
});

test("a missing chunk is reported by name", () => {
  const { list, texts } = splitDocument(createDocument(500));
  const [, missing = ""] = list.names;
  const rest = new Map([...texts].filter(([name]) => name !== missing));
  const cache = createCache({ list, texts: rest });
  assert.deepEqual(cache.missing(list), [missing]);
  const [finding] = cache.document(list)._unsafeUnwrapErr();
  assert.equal(finding?.message, `Chunk ${missing} is missing`);
});

test("a chunk that does not match its schema is rejected", () => {
  const { list, texts } = splitDocument(createDocument(500));
  const cache = createCache({ list, texts });
  for (const text of ['[{"name":"only-a-name"}]', "no JSON"]) {
    cache.add([text]);
    const names = [...list.names, chunkNameOf(text)];
    assert.ok(cache.document({ names }).isErr());
  }
});

test("versions share the parsed teams of unchanged chunks", () => {
  const before = createDocument(500);
  const teams = before.teams.map((team, index) =>
    index === 0 ? { ...team, contract: "large" } : team,
  );
  const [first, second] = [
    splitDocument(before),
    splitDocument({ ...before, teams }),
  ];
  const cache = createCache(first);
  const oldDocument = cache.document(first.list)._unsafeUnwrap();
  cache.add(second.texts.values());
  const newDocument = cache.document(second.list)._unsafeUnwrap();
  assert.equal(newDocument.teams[0]?.contract, "large");
  assert.equal(newDocument.teams.at(-1), oldDocument.teams.at(-1));
});

test("changing one of many teams changes one chunk", () => {
  const before = createDocument(MANY_TEAMS);
  const teams = before.teams.map((team, index) =>
    index === 9_000 ? { ...team, contract: "large" } : team,
  );
  assert.equal(countNewChunks(before, { ...before, teams }), 1);
});

test("inserting a team in the middle changes at most two chunks", () => {
  const before = createDocument(MANY_TEAMS);
  const newTeam = {
    name: "newcomer",
    keyHash: hashKey("new"),
    contract: "small",
  };
  const teams = before.teams.toSpliced(5_000, 0, newTeam);
  assert.ok(countNewChunks(before, { ...before, teams }) <= 2);
});

test("each stored object stays far below 1 MB with many teams", () => {
  const { list, texts } = splitDocument(createDocument(MANY_TEAMS));
  const sizes = [...texts.values(), JSON.stringify(list)].map((text) =>
    Buffer.byteLength(text),
  );
  assert.ok(Math.max(...sizes) < 256 * 1024);
});
