/** Routes and configurations for tests of the direct router. */

import type { FleetConfiguration, Route } from "../../src/routing/mod.ts";

/** Returns a route of idempotent requests; `overrides` replaces fields. */
export function createRoute(overrides: Partial<Route> = {}): Route {
  return {
    name: "lookup",
    host: "desk.example",
    pathPrefix: "/lookup/",
    destinations: [{ service: "desk", weight: 1 }],
    streaming: false,
    repetition: "idempotent",
    timeoutMs: 5_000,
    objectiveMs: 1_000,
    eventGapMs: null,
    priority: 1,
    maxAttempts: 2,
    requiresKey: false,
    regions: null,
    ...overrides,
  };
}

/**
 * Returns a configuration with one route, one service and one team;
 * `overrides` replaces fields.
 */
export function createConfiguration(
  overrides: Partial<FleetConfiguration> = {},
): FleetConfiguration {
  return {
    version: 1,
    routes: [createRoute()],
    services: [
      { name: "desk", maxConnections: 100, engine: null, coldStart: null },
    ],
    teams: [{ name: "porters", apiKeys: ["key-1"], regions: null }],
    limits: {
      headerBytes: 16_384,
      bodyBytes: 100_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
      tokensPerSecond: 100_000,
    },
    ...overrides,
  };
}
