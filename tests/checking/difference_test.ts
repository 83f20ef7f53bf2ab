/** Differences between two configurations. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { compare, sectionsOfFleet } from "../../src/checking/mod.ts";
import { createConfiguration, createRoute } from "../support/routes.ts";

/** Returns the sections of a configuration with one ordered section. */
function createRules(...names: string[]) {
  const entries = names.map((name) => ({ name, fields: {} }));
  return [{ name: "rules", entries, isOrdered: true }];
}

test("entries are compared by name, whatever their order", () => {
  const before = createConfiguration({
    routes: [
      createRoute({ name: "a", pathPrefix: "/a/" }),
      createRoute({ name: "b", pathPrefix: "/b/", timeoutMs: 700 }),
      createRoute({ name: "gone", pathPrefix: "/g/" }),
    ],
  });
  const after = createConfiguration({
    version: 2,
    routes: [
      createRoute({ name: "new", pathPrefix: "/n/" }),
      createRoute({ name: "b", pathPrefix: "/b/", timeoutMs: 900 }),
      createRoute({ name: "a", pathPrefix: "/a/" }),
    ],
  });
  const section = "routes";
  assert.deepEqual(compare(sectionsOfFleet(before), sectionsOfFleet(after)), [
    { type: "removed", section, name: "gone" },
    { type: "added", section, name: "new" },
    {
      ...{ type: "changed", section, name: "b", field: "timeoutMs" },
      ...{ before: "700", after: "900" },
    },
  ]);
});

test("API keys are counted and not shown", () => {
  const teams = [
    { name: "porters", apiKeys: ["key-2", "key-3"], regions: null },
  ];
  const changes = compare(
    sectionsOfFleet(createConfiguration()),
    sectionsOfFleet(createConfiguration({ teams })),
  );
  assert.deepEqual(changes, [
    {
      ...{ type: "secrets-changed", section: "teams", name: "porters" },
      ...{ added: 2, removed: 1 },
    },
  ]);
});

test("only the entry that was moved is told, not those that it passed", () => {
  const before = createRules("a", "b", "c", "d");
  const section = "rules";
  assert.deepEqual(compare(before, createRules("d", "a", "b", "c")), [
    { type: "moved", section, name: "d", after: null },
  ]);
  assert.deepEqual(compare(before, createRules("b", "c", "a", "d")), [
    { type: "moved", section, name: "a", after: "c" },
  ]);
  assert.deepEqual(compare(before, createRules("a", "x", "b", "d")), [
    { type: "removed", section, name: "c" },
    { type: "added", section, name: "x" },
  ]);
});
