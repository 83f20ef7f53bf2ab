/**
 * Decoding of server entries, configurations and headers of the platform:
 * malformed input yields an error and never throws.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import * as fc from "fast-check";
import * as configurationDecoder from "../../platform/configuration_decoder.ts";
import { headerDialect } from "../../platform/header_dialect.ts";
import * as serverDecoder from "../../platform/server_decoder.ts";

const ENTRY = {
  service: "desk",
  address: "10.0.0.9:8080",
  zone: "a",
  version: "v1",
  slots: 64,
  state: "ready",
  warmupLeftMs: 0,
  sequence: 4,
};

function decodeEntry(change: object) {
  const spec = { ...ENTRY, ...change };
  return serverDecoder.decode({ name: "i-1", revision: 1, spec });
}

test("a server entry decodes to a backend server", () => {
  assert.deepEqual(decodeEntry({ born: 7 })._unsafeUnwrap(), {
    id: "i-1",
    service: "desk",
    host: "10.0.0.9",
    port: 8080,
    availabilityZone: "a",
    version: "v1",
    slots: 64,
    state: "ready",
    startedAtMs: 7,
    coldForMs: 0,
  });
});

test("an entry says how long its server stays cold", () => {
  const server = decodeEntry({ warmupLeftMs: 1_250.5 })._unsafeUnwrap();
  assert.equal(server.coldForMs, 1_250.5);
});

for (const change of [
  { service: undefined },
  { service: 7 },
  { address: "desk:80" },
  { address: "10.0.0.9:99999" },
  { zone: null },
  { slots: "64" },
  { slots: 0 },
  { state: "sleeping" },
  { state: "constructor" },
  { born: 1.5 },
  { born: "7" },
  { version: 2 },
  { warmupLeftMs: "7" },
  { warmupLeftMs: -1 },
  { version: undefined },
]) {
  test(`a server entry with ${JSON.stringify(change)} is rejected`, () => {
    assert.ok(decodeEntry(change).isErr());
  });
}

for (const [value, expected] of [
  ["2.5", { type: "limited", requestsPerS: 2.5 }],
  ["0", { type: "limited", requestsPerS: 0 }],
  [undefined, { type: "unlimited" }],
  ["-1", { type: "unstated" }],
  ["two", { type: "unstated" }],
  ["", { type: "unstated" }],
  ["NaN", { type: "unstated" }],
  ["Infinity", { type: "unstated" }],
] as const) {
  test(`a response with the limit ${value} is understood`, () => {
    const headers = { "x-response-seal": "seal", "server-limit": value };
    const { requestLimit } = headerDialect.readResponse(200, headers);
    assert.deepEqual(requestLimit, expected);
  });
}

test("a response that isn't the server's own doesn't end its limit", () => {
  const full = headerDialect.readResponse(503, { "x-not-executed": "1" });
  assert.deepEqual(full.requestLimit, { type: "unstated" });
  const other = headerDialect.readResponse(421, { "server-limit": "1" });
  assert.deepEqual(other.requestLimit, { type: "unstated" });
});

for (const [headers, status, expected] of [
  [{ "server-leaving": "1" }, 200, [{ type: "leaving" }]],
  [{ "server-leaving": "" }, 503, [{ type: "leaving" }]],
  [{ "retry-after": "3" }, 503, [{ type: "paused", forMs: 3_000 }]],
  [{ "retry-after": "0.25" }, 429, [{ type: "paused", forMs: 250 }]],
  [{ "retry-after": "0" }, 503, []],
  [{ "retry-after": "-1" }, 503, []],
  [{ "retry-after": "soon" }, 503, []],
  [{ "retry-after": "1e9" }, 503, []],
  [{ "server-leaving": "1", "retry-after": "3" }, 421, []],
  [{}, 200, []],
] as const) {
  const named = JSON.stringify(headers);
  test(`a ${status} response with ${named} is understood`, () => {
    const { notices } = headerDialect.readResponse(status, headers);
    assert.deepEqual(notices, expected);
  });
}

test("the server decoder never throws, whatever the entry holds", () => {
  fc.assert(
    fc.property(fc.anything(), (spec) => {
      serverDecoder.decode({ name: "i", revision: 1, spec });
    }),
    { seed: 8, numRuns: 500 },
  );
});

const CONFIGURATION = {
  version: 7,
  routes: [
    {
      name: "r",
      host: "Desk.Example",
      pathPrefix: "/a/",
      kind: "streaming",
      timeoutMs: 5000,
      targetLatencyMs: 800,
      priority: 1,
      weightedBackends: [
        { service: "m", weight: 90 },
        { service: "n", weight: 10 },
      ],
      maxAttempts: 2,
      streamResume: true,
    },
  ],
  services: [
    { name: "m", maxConns: 360, engine: { slots: 64, kvCapacity: 1000 } },
    { name: "n", maxConns: 96 },
  ],
  limits: {
    maxHeaderBytes: 1,
    maxBodyBytes: 2,
    headerTimeoutMs: 3,
    idleTimeoutMs: 4,
    tokensPerS: 5,
  },
  tenants: [{ name: "t", apiKeys: ["k"] }],
};

test("a configuration decodes to routes, services and teams", () => {
  const decoded = configurationDecoder.decode(CONFIGURATION)._unsafeUnwrap();
  const [route] = decoded.routes;
  assert.equal(route?.repetition, "resumable");
  assert.equal(route?.streaming, true);
  assert.equal(route?.host, "desk.example");
  assert.equal(route?.requiresKey, true);
  assert.deepEqual(decoded.services[0]?.engine, {
    slots: 64,
    cacheTokens: 1000,
    copiedTokensPerMs: 0,
  });
  assert.equal(decoded.services[1]?.engine, null);
});

test("regions of routes and teams are decoded; none, or an empty list, is any", () => {
  const regionsOf = (allowedRegions?: unknown) => {
    const change = allowedRegions === undefined ? {} : { allowedRegions };
    return configurationDecoder
      .decode({
        ...CONFIGURATION,
        routes: CONFIGURATION.routes.map((one) => ({ ...one, ...change })),
        tenants: CONFIGURATION.tenants.map((one) => ({ ...one, ...change })),
      })
      .map(({ routes, teams }) => [routes[0]?.regions, teams?.[0]?.regions]);
  };
  assert.deepEqual(regionsOf()._unsafeUnwrap(), [null, null]);
  assert.deepEqual(regionsOf([])._unsafeUnwrap(), [null, null]);
  const north = ["north"];
  assert.deepEqual(regionsOf(north)._unsafeUnwrap(), [north, north]);
  assert.ok(regionsOf("north").isErr());
});

test("the cache copy rate follows from link bandwidth and token size", () => {
  const linked = { slots: 64, kvCapacity: 1000, kvTokenBytes: 20_000 };
  const engine = { ...linked, linkMbps: 400_000 };
  const services = [{ name: "m", maxConns: 360, engine }];
  const decoded = configurationDecoder.decode({ ...CONFIGURATION, services });
  const [service] = decoded._unsafeUnwrap().services;
  assert.equal(service?.engine?.copiedTokensPerMs, 2_500);
});

test("only idempotent and resumable routes allow a retry", () => {
  const [route] = CONFIGURATION.routes;
  const repetitions = [
    { kind: "idempotent" },
    { kind: "non_idempotent" },
    { kind: "streaming", streamResume: false },
    { kind: "streaming", streamResume: true },
  ].map((change) => {
    const routes = [{ ...route, ...change }];
    const value = { ...CONFIGURATION, routes };
    const decoded = configurationDecoder.decode(value)._unsafeUnwrap();
    return decoded.routes[0]?.repetition;
  });
  const never = "non-idempotent";
  assert.deepEqual(repetitions, ["idempotent", never, never, "resumable"]);
});

test("a configuration error names the path of every invalid value", () => {
  const value = { ...CONFIGURATION, version: "7", limits: {} };
  const findings = configurationDecoder.decode(value)._unsafeUnwrapErr();
  const places = new Set(findings.map(({ path }) => path));
  assert.ok(places.has("/version"));
  assert.ok(places.has("/limits"));
});

test("the headers of a caller decode to request terms", () => {
  const terms = headerDialect
    .readRequest({
      "x-attempt-id": "id-1",
      "x-deadline-ms": "1500",
      "x-model": "m",
      "x-token-count": "1460,80",
      "x-prefix-hash": "5c1e:800,91bd:410,e440:250",
      authorization: "Token key-1",
    })
    ._unsafeUnwrap();
  assert.equal(terms.id, "id-1");
  assert.equal(terms.waitMs, 1500);
  assert.equal(terms.apiKey, "key-1");
  assert.equal(terms.prompt?.inputTokens, 1460);
  assert.equal(terms.prompt?.parts.length, 3);
});

test("API keys and router-only headers of callers aren't forwarded", () => {
  const server = serverDecoder
    .decode({ name: "i-1", revision: 1, spec: ENTRY })
    ._unsafeUnwrap();
  const raw = [
    ...["Host", "h", "X-Attempt-Id", "id", "Authorization", "Token k"],
    ...["X-Tenant", "forged", "X-Hold", "1", "Kv-From", "x", "X-Pin-Ms", "1"],
    ...["X-Kv-Backup", "x", "Connection", "X-Mine", "X-Mine", "1"],
    ...["X-Other", "kept", "X-Expect-Replica", "forged", "Kv-Fetch", "x"],
  ];
  const terms = {
    ...{ server, source: null, remainingMs: 900.7 },
    ...{ team: "t", lastEventId: null },
  };
  const sent = headerDialect.forwardedHeaders(raw, terms);
  assert.deepEqual(sent, [
    ...["Host", "h", "X-Attempt-Id", "id", "X-Other", "kept"],
    ...["X-Deadline-Ms", "900", "X-Expect-Replica", "i-1", "X-Tenant", "t"],
  ]);
});

test("the address of the cache to copy from is sent to the server", () => {
  const server = serverDecoder
    .decode({ name: "i-1", revision: 1, spec: ENTRY })
    ._unsafeUnwrap();
  const source = { ...server, id: "i-2", host: "10.0.0.2", port: 80 };
  const terms = { server, source, remainingMs: 900, team: null };
  const sent = headerDialect.forwardedHeaders([], {
    ...terms,
    lastEventId: null,
  });
  assert.equal(sent[sent.indexOf("Kv-Fetch") + 1], "10.0.0.2:80");
});

test("a service says how long its servers are cold and what they take", () => {
  const services = [
    { name: "m", maxConns: 360, coldS: 3, coldPerS: 9.1 },
    { name: "n", maxConns: 96, coldS: 0, coldPerS: 0 },
    { name: "o", maxConns: 96, coldS: 3 },
  ];
  const decoded = configurationDecoder.decode({ ...CONFIGURATION, services });
  assert.deepEqual(
    decoded._unsafeUnwrap().services.map(({ coldStart }) => coldStart),
    [{ durationMs: 3_000, requestsPerS: 9.1 }, null, null],
  );
});
