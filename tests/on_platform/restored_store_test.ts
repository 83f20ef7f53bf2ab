/** Configuration in force while the store has an older copy of it. */

import assert from "node:assert/strict";
import { test } from "node:test";
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

test("a store with an older configuration confirms no keys", async () => {
  const fixture = await createRouterFixture({ configuration: null });
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
  await fixture.close();
});
