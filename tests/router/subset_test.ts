/** The subset of side processes that a router connects to. */

import assert from "node:assert/strict";
import { test } from "node:test";
import type { Instance } from "../../src/platform/mod.ts";
import { chooseSubset } from "../../src/router/subset.ts";

function createInstance(index: number, zones: number): Instance {
  return {
    name: `model-${index}`,
    role: "side-process",
    service: "model",
    host: "127.0.0.1",
    port: 10_000 + index,
    adminPort: 20_000 + index,
    availabilityZone: `zone-${index % zones}`,
    state: "live",
  };
}

function createInstances(count: number, zones: number): Instance[] {
  return Array.from({ length: count }, (_, index) =>
    createInstance(index, zones),
  );
}

test("a router connects to every replica of a small service", () => {
  assert.equal(chooseSubset(createInstances(6, 3), "router-0").length, 6);
});

test("the subset of a large service has replicas of every zone", () => {
  const subset = chooseSubset(createInstances(28, 4), "router-0");
  const zones = new Set(subset.map((one) => one.availabilityZone));
  assert.equal(subset.length, 8);
  assert.equal(zones.size, 4);
});

test("removing one replica replaces only that one in a subset", () => {
  const instances = createInstances(28, 4);
  const before = chooseSubset(instances, "router-0");
  const gone = before[3]?.name;
  const after = chooseSubset(
    instances.filter(({ name }) => name !== gone),
    "router-0",
  );
  const kept = after.filter((one) => before.includes(one));
  assert.equal(kept.length, 7);
});

test("every replica is in the subset of some routers", () => {
  const instances = createInstances(28, 4);
  const counts = new Map<string, number>();
  for (let router = 0; router < 370; router += 1) {
    for (const { name } of chooseSubset(instances, `router-${router}`)) {
      counts.set(name, (counts.get(name) ?? 0) + 1);
    }
  }
  assert.equal(counts.size, 28);
  // 370 routers with 8 connections each give 106 to each of 28 replicas.
  assert.ok(Math.min(...counts.values()) > 53);
});
