/** Backend servers for tests, as the directory holds them. */

import type { BackendServer } from "../../src/directory/mod.ts";

/** Returns a server that is ready for requests; `overrides` replaces fields. */
export function createServer(
  overrides: Partial<BackendServer> = {},
): BackendServer {
  return {
    id: "s1",
    service: "desk",
    host: "10.0.0.1",
    port: 8080,
    availabilityZone: "a",
    version: "v1",
    slots: 4,
    state: "ready",
    startedAtMs: 0,
    coldForMs: 0,
    ...overrides,
  };
}
