/** Runs crashing_request.feature. */

import { runFeature } from "../support/feature.ts";
import { World } from "../support/world.ts";
import { createSteps } from "./steps/mod.ts";

runFeature("crashing_request.feature", createSteps(), {
  createWorld: () => new World(),
});
