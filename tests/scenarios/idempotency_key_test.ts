/** Runs idempotency_key.feature. */

import { runFeature } from "../support/feature.ts";
import { World } from "../support/world.ts";
import { createSteps } from "./steps/mod.ts";

runFeature("idempotency_key.feature", createSteps(), {
  createWorld: () => new World(),
});
