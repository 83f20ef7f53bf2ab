/** Configurations in the wire format that operators write to the store. */

/** Returns a streaming route to the service `m`. */
export function createWireRoute(change: object = {}) {
  return {
    ...{ name: "chat", host: "desk.example", pathPrefix: "/a/" },
    ...{ kind: "streaming", timeoutMs: 5_000, targetLatencyMs: 800 },
    ...{ priority: 1, maxAttempts: 2, service: "m" },
    ...change,
  };
}

/** Returns a configuration with one route, two services and one team. */
export function createWireConfiguration(change: object = {}) {
  const engine = { slots: 8, kvCapacity: 100_000 };
  return {
    version: 1,
    routes: [createWireRoute()],
    services: [
      { name: "m", maxConns: 360, engine },
      { name: "n", maxConns: 96 },
    ],
    limits: {
      ...{ maxHeaderBytes: 16_384, maxBodyBytes: 100_000 },
      ...{ headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    },
    tenants: [{ name: "porters", apiKeys: ["k"] }],
    ...change,
  };
}
