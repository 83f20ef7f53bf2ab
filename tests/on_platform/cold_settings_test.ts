/** The bound of cold engines in the admission controller's settings. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { admissionSettingsSchema } from "../../src/admission/mod.ts";
import { DEFAULT_BOUNDS, render } from "./program_fixture.ts";

async function settingsWith(bounds: object) {
  const text = await render("admission", {
    ...{ node: "side-1", ip: "127.0.0.1", zone: "a", service: "m" },
    ...{ app: "127.0.0.1:80", internalPorts: [7400, 7401], bounds },
    platform: { address: "127.0.0.1:90" },
  });
  return admissionSettingsSchema.check(JSON.parse(text))._unsafeUnwrap();
}

test("the bounds of a deployment with cold engines reach the settings", async () => {
  const bounds = { ...DEFAULT_BOUNDS, coldOvershoot: 1.5, coldSlack: 5 };
  const { coldStart } = await settingsWith(bounds);
  assert.deepEqual(coldStart, { overshoot: 1.5, slack: 5 });
});

test("a deployment without them has no bound", async () => {
  const { coldStart } = await settingsWith(DEFAULT_BOUNDS);
  assert.equal(coldStart, undefined);
});
