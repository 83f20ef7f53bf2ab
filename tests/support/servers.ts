/** Backend servers as they announce themselves. */

import type { BackendServer } from "../../src/directory/mod.ts";

/** Returns a server that takes work. */
export function createServer(
  change: Partial<BackendServer> = {},
): BackendServer {
  return {
    id: "s1",
    service: "desk",
    host: "10.0.0.1",
    port: 8080,
    availabilityZone: "a",
    slots: 4,
    state: "ready",
    startedAtMs: 0,
    ...change,
  };
}
