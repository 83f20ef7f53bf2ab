/** Runs back_pressure.feature. */

import { runFeature } from "../support/feature.ts";
import { World } from "../support/world.ts";
import { createSteps } from "./steps/mod.ts";

runFeature("back_pressure.feature", createSteps(), {
  createWorld: () => new World(),
});
