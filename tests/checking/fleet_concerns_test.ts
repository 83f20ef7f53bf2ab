/** Concerns about the configuration of routers that send to servers. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { findFleetConcerns } from "../../src/checking/mod.ts";
import type {
  FleetConfiguration,
  Service,
  Team,
} from "../../src/routing/mod.ts";
import { createConfiguration, createRoute } from "../support/routes.ts";

function createService(overrides: Partial<Service> = {}): Service {
  const engine = { slots: 8, cacheTokens: 100_000, copiedTokensPerMs: 0 };
  return {
    ...{ name: "model", maxConnections: 100, engine, coldStart: null },
    ...overrides,
  };
}

function createTeam(name: string, ...apiKeys: string[]): Team {
  return { name, apiKeys, regions: null };
}

/** Returns the concerns as `type path: message`. */
function concernsAbout(change: Partial<FleetConfiguration>): string[] {
  return findFleetConcerns(createConfiguration(change)).map(
    ({ type, path, message }) => `${type} ${path}: ${message}`,
  );
}

test("a sound configuration raises no concern", () => {
  assert.deepEqual(concernsAbout({}), []);
});

test("a route to no service or to an unknown one is an error", () => {
  const routes = [
    createRoute({ name: "none", pathPrefix: "/n/", destinations: [] }),
    createRoute({ destinations: [{ service: "lost", weight: 1 }] }),
    createRoute({ name: "ok", pathPrefix: "/ok/" }),
  ];
  assert.deepEqual(concernsAbout({ routes }), [
    'error /routes/0: Route "none" leads to no service',
    'error /routes/1: Service "lost" of route "lookup" is not known',
  ]);
});

test("a route behind one with the same host and prefix never matches", () => {
  const routes = [
    createRoute({ name: "first" }),
    createRoute({ name: "longer", pathPrefix: "/lookup/more/" }),
    createRoute({ name: "second" }),
    createRoute({ name: "elsewhere", host: "shop.example" }),
  ];
  const found = concernsAbout({ routes });
  assert.equal(found.length, 1);
  assert.match(found[0] ?? "", /^never-matches \/routes\/2: .*"first"/);
});

test("entries without effect are told apart from errors", () => {
  const routes = [
    createRoute({
      destinations: [
        { service: "desk", weight: 1 },
        { service: "model", weight: 0 },
      ],
    }),
    createRoute({ name: "odd", pathPrefix: "odd/" }),
  ];
  const { services } = createConfiguration();
  const found = concernsAbout({
    routes,
    services: [...services, createService({ name: "idle" }), createService()],
    teams: [createTeam("keyless")],
  });
  assert.deepEqual(
    found.map((one) => one.split(":")[0]),
    [
      "never-matches /routes/0",
      "never-matches /routes/1",
      "never-matches /services/1",
      "never-matches /teams/0",
    ],
  );
});

test("a target behind the timeout contradicts it", () => {
  const routes = [
    createRoute({ timeoutMs: 900, objectiveMs: 1_000 }),
    createRoute({ name: "even", pathPrefix: "/e/", timeoutMs: 1_000 }),
    createRoute({ name: "instant", pathPrefix: "/i/", timeoutMs: 0 }),
  ];
  const found = concernsAbout({ routes });
  assert.equal(found.length, 2);
  assert.match(found[0] ?? "", /^contradiction \/routes\/0: .*900 ms.*1000 ms/);
  assert.match(found[1] ?? "", /^contradiction \/routes\/2: .*"instant"/);
});

test("engines that can't use their slots contradict themselves", () => {
  const routes = [
    createRoute({ destinations: [{ service: "model", weight: 1 }] }),
  ];
  const messages = [
    createService({ maxConnections: 7 }),
    createService({
      engine: { slots: 8, cacheTokens: 0, copiedTokensPerMs: 0 },
    }),
  ].flatMap((service) => concernsAbout({ routes, services: [service] }));
  assert.equal(messages.length, 2);
  assert.match(messages[0] ?? "", /8 requests at once over 7 connections/);
  assert.match(messages[1] ?? "", /cache of 0 tokens/);
});

test("a key of two teams is an error that doesn't show the key", () => {
  const found = concernsAbout({
    teams: [
      createTeam("porters", "key-1", "key-1"),
      createTeam("clerks", "key-1"),
      createTeam("porters", "key-2"),
    ],
  });
  assert.deepEqual(found, [
    'error /teams/2: Name "porters" stands twice',
    'error /teams/1: An API key of team "clerks" is also one of team "porters"',
  ]);
});

test("a team whose regions its routes don't share can't be served there", () => {
  const regions = ["west"];
  const routes = [
    createRoute({ regions: ["north", "west"] }),
    createRoute({ name: "east", pathPrefix: "/e/", regions: ["east"] }),
    createRoute({ name: "any", pathPrefix: "/any/" }),
  ];
  const teams = [{ ...createTeam("clerks", "key-1"), regions }];
  const found = concernsAbout({ routes, teams });
  assert.equal(found.length, 1);
  assert.match(found[0] ?? "", /^contradiction \/routes\/1: .*"clerks"/);
});
