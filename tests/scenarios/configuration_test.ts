/** Runs configuration.feature. */

import { runFeature } from "../support/feature.ts";
import { World } from "../support/world.ts";
import { createSteps } from "./steps/mod.ts";

runFeature("configuration.feature", createSteps(), {
  createWorld: () => new World(),
});
