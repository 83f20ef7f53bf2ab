/** Configuration in force while the store has an older copy of it, or none. */

import assert from "node:assert/strict";
import { test } from "node:test";
import type { StoredObject } from "../../platform/stored_object.ts";
import {
  CONFIGURATION_KIND,
  configurationListener,
} from "../../platform/watch_listeners.ts";
import { EventLog } from "../../src/common/event_log.ts";
import { createRouterFixture } from "../direct/fixture.ts";
import { createWireConfiguration } from "./wire_configuration.ts";

const events = new EventLog("test", (_text, done) => done(null));

/** The operator's configuration as a store object. */
function createObject(version: number) {
  const spec = createWireConfiguration({ version });
  return { name: "main", revision: version, spec, kind: CONFIGURATION_KIND };
}

test("a configuration that can't be decoded confirms no older one", async (t) => {
  const fixture = await createRouterFixture({ configuration: null });
  t.after(() => fixture.close());
  const { configuration } = fixture.router;
  const confirmed: number[] = [];
  configuration.confirm = ({ monotonicMs }) => confirmed.push(monotonicMs);
  const listener = configurationListener(fixture.router, events);
  const confirmAt = (monotonicMs: number) =>
    listener.onConfirmed({ monotonicMs, wallMs: monotonicMs });
  const change = (object: StoredObject, removed = false) =>
    listener.onChanged([{ object, removed }]);
  listener.onListed([createObject(7)]);
  confirmAt(1);
  change({ ...createObject(8), spec: { version: 8 } });
  confirmAt(2);
  change(createObject(9));
  confirmAt(3);
  change(createObject(9), true);
  confirmAt(4);
  listener.onListed([{ ...createObject(10), spec: null }]);
  confirmAt(5);
  listener.onListed([createObject(10)]);
  confirmAt(6);
  assert.deepEqual(
    confirmed.filter((atMs) => atMs <= 6),
    [1, 3, 6],
  );
  assert.equal(configuration.table?.version, 10);
});

test("a store with an older configuration confirms no keys", async (t) => {
  const fixture = await createRouterFixture({ configuration: null });
  t.after(() => fixture.close());
  const { configuration } = fixture.router;
  const confirmed: number[] = [];
  configuration.confirm = ({ monotonicMs }) => confirmed.push(monotonicMs);
  const listener = configurationListener(fixture.router, events);
  const listAt = (monotonicMs: number, versions: readonly number[]) => {
    listener.onListed(versions.map(createObject));
    listener.onConfirmed({ monotonicMs, wallMs: monotonicMs });
  };
  listAt(1, [7]);
  listener.onStoreRestored();
  listAt(2, [6]);
  listAt(3, []);
  assert.equal(configuration.table?.version, 7);
  listAt(4, [7]);
  assert.deepEqual(
    confirmed.filter((atMs) => atMs <= 4),
    [1, 4],
  );
});
