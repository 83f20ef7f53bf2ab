/** What the admission controller learns from the engine on its machine. */

import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { createEngineProbe } from "../../platform/engine_probe.ts";
import { freePorts } from "../../tools/fleet/ports.ts";

/** Serves reports; `headers` and `body` are those of the next responses. */
async function startEngine(headers: Record<string, string>, body: string) {
  const server = createServer((_request, response) => {
    response.writeHead(200, headers).end(body);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  return { server, probe: createEngineProbe(`127.0.0.1:${port}`) };
}

for (const [headers, body, expected] of [
  [{}, '{"born":1700,"running":3}', { startedAtMs: 1_700, coldForMs: 0 }],
  [{}, '{"warmupLeftMs":900}', { startedAtMs: null, coldForMs: 900 }],
  [{ "X-Cold-Ms": "1200" }, "{}", { startedAtMs: null, coldForMs: 1_200 }],
  [{ "X-Cold-Ms": "soon" }, "[]", { startedAtMs: null, coldForMs: 0 }],
  [{}, "not JSON", { startedAtMs: null, coldForMs: 0 }],
] as const)
  test(`a report ${body} with ${JSON.stringify(headers)}`, async () => {
    const { server, probe } = await startEngine(headers, body);
    try {
      assert.deepEqual(await probe(), { type: "answered", ...expected });
    } finally {
      server.closeAllConnections();
      server.close();
    }
  });

test("a port at which nothing listens refuses", async () => {
  const [port = 0] = await freePorts(1);
  const probe = createEngineProbe(`127.0.0.1:${port}`);
  assert.deepEqual(await probe(), { type: "refused" });
});
