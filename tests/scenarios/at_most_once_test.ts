/** Runs at_most_once.feature. */

import { runFeature } from "../support/feature.ts";
import { World } from "../support/world.ts";
import { createSteps } from "./steps/mod.ts";

runFeature("at_most_once.feature", createSteps(), {
  createWorld: () => new World(),
});
