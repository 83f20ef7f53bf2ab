/** Calls to the platform after its open connections have fallen silent. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { ObjectStore } from "../../src/platform/mod.ts";
import { portOf, serve } from "../../stand_ins/http.ts";
import { noFaults } from "../../stand_ins/platform/faults.ts";
import { ObjectApi } from "../../stand_ins/platform/object_api.ts";
import { FaultProxy } from "../../tools/fleet/fault_proxy.ts";

test("a call after a timeout doesn't use another silent connection", async (t) => {
  const objects = new ObjectApi(noFaults());
  const server = await serve((...args) => objects.handle(...args), 0);
  const proxy = await FaultProxy.start(portOf(server));
  const store = new ObjectStore(`http://127.0.0.1:${proxy.port}`);
  t.after(async () => {
    await store.close();
    proxy.close();
    server.close();
    server.closeAllConnections();
  });
  const name = { kind: "document", name: "current" };
  await store.create(name, "first");
  await Promise.all(Array.from({ length: 4 }, () => store.get(name)));
  proxy.freeze();
  assert.equal((await store.get(name)).isErr(), true);
  assert.equal((await store.get(name)).isOk(), true);
});
