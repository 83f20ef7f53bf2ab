/** Runs silent_connections.feature. */

import { runFeature } from "../support/feature.ts";
import { World } from "../support/world.ts";
import { createSteps } from "./steps/mod.ts";

runFeature("silent_connections.feature", createSteps(), {
  createWorld: () => new World(),
});
