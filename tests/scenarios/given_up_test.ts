/** Runs given_up.feature. */

import { runFeature } from "../support/feature.ts";
import { World } from "../support/world.ts";
import { createSteps } from "./steps/mod.ts";

runFeature("given_up.feature", createSteps(), {
  createWorld: () => new World(),
});
