/** How far back the store's history of the backend servers reaches. */

import assert from "node:assert/strict";
import type { Server } from "node:http";
import { afterEach, beforeEach, test } from "node:test";
import { readHistory } from "../../platform/kind_history.ts";
import { StoreClient } from "../../platform/store_client.ts";
import { portOf, serve } from "../../stand_ins/http.ts";
import { Store } from "../../stand_ins/store/store.ts";

const KIND = "servers";

let store: Store;
let server: Server;
let client: StoreClient;

beforeEach(async () => {
  store = new Store();
  server = await serve((...args) => store.handle(...args), 0);
  client = new StoreClient(`127.0.0.1:${portOf(server)}`);
});

afterEach(async () => {
  await client.close();
  server.close();
});

async function read() {
  const listing = (await client.list(KIND))._unsafeUnwrap();
  const { signal } = new AbortController();
  return await readHistory(client, KIND, { listing, signal });
}

test("a history that was kept has all entries, removed ones too", async () => {
  store.put(KIND, "i-1", { version: "v1" });
  store.put(KIND, "i-1", { version: "v2" });
  store.put(KIND, "i-2", { version: "v3" });
  store.remove(KIND, "i-2");
  const changes = (await read())._unsafeUnwrap();
  assert.deepEqual(
    changes.map(({ object, removed }) => [object.spec, removed]),
    [
      [{ version: "v1" }, false],
      [{ version: "v2" }, false],
      [{ version: "v3" }, false],
      [{ version: "v3" }, true],
    ],
  );
});

test("a store without changes has an empty history", async () => {
  assert.deepEqual((await read())._unsafeUnwrap(), []);
});

test("a history that was discarded isn't complete", async () => {
  store.put(KIND, "i-1", { version: "v1" });
  store.compactHistory();
  assert.equal((await read())._unsafeUnwrapErr(), "discarded");
});

test("the history of a restored store isn't complete", async () => {
  const copy = store.copy();
  store.put(KIND, "i-1", { version: "v1" });
  store.restore(copy);
  assert.equal((await read())._unsafeUnwrapErr(), "restored");
});
