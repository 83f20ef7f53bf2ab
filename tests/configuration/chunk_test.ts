/** Documents in chunks: whole again, and a change costs one chunk. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { cut, join } from "../../src/configuration/chunk.ts";
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

function changed(before: Document, after: Document): number {
  const known = new Set(cut(before).list.names);
  return cut(after).list.names.filter((name) => !known.has(name)).length;
}

test("a document is whole again after it was cut", () => {
  for (const teams of [0, 1, 500]) {
    const document = createDocument(teams);
    const { list, texts } = cut(document);
    assert.deepEqual(join(list, texts)._unsafeUnwrap(), document);
  }
});

test("a missing chunk is named", () => {
  const { list, texts } = cut(createDocument(500));
  const [, lost = ""] = list.names;
  const rest = new Map([...texts].filter(([name]) => name !== lost));
  assert.equal(join(list, rest)._unsafeUnwrapErr(), lost);
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
