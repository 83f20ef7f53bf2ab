/** Lookup of routes, destinations and teams. */

import assert from "node:assert/strict";
import { test } from "node:test";
import {
  destinationOf,
  type Route,
  RouteTable,
} from "../../src/routing/mod.ts";
import { createConfiguration, createRoute } from "../support/routes.ts";

function createTable(routes: readonly Route[]): RouteTable {
  return new RouteTable(createConfiguration({ routes }));
}

test("the longest matching path prefix of the host wins", () => {
  const table = createTable([
    createRoute({ name: "short", pathPrefix: "/a/" }),
    createRoute({ name: "long", pathPrefix: "/a/b/" }),
    createRoute({ name: "elsewhere", host: "other", pathPrefix: "/a/b/c/" }),
  ]);
  assert.equal(table.find("desk.example", "/a/b/c/d")?.name, "long");
  assert.equal(table.find("DESK.example", "/a/x")?.name, "short");
  assert.equal(table.find("desk.example", "/b/"), null);
});

test("requests are split by the weights of the destinations", () => {
  const route = createRoute({
    destinations: [
      { service: "old", weight: 90 },
      { service: "new", weight: 10 },
    ],
  });
  assert.equal(destinationOf(route, 0)?.service, "old");
  assert.equal(destinationOf(route, 0.89)?.service, "old");
  assert.equal(destinationOf(route, 0.91)?.service, "new");
  assert.equal(destinationOf({ ...route, destinations: [] }, 0.5), null);
});

test("an API key maps to its team", () => {
  const teams = [{ name: "desk", apiKeys: ["k1", "k2"], regions: null }];
  const table = new RouteTable(createConfiguration({ teams }));
  assert.equal(table.teamOf("k2"), "desk");
  assert.equal(table.teamOf("k3"), null);
});
