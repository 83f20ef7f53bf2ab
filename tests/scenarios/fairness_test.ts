/** Runs fairness.feature. */

import { runFeature } from "../support/feature.ts";
import { World } from "../support/world.ts";
import { createSteps } from "./steps/mod.ts";

runFeature("fairness.feature", createSteps(), {
  createWorld: () => new World(),
});
