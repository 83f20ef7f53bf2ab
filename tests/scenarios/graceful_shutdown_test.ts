/** Runs graceful_shutdown.feature. */

import { runFeature } from "../support/feature.ts";
import { World } from "../support/world.ts";
import { createSteps } from "./steps/mod.ts";

runFeature("graceful_shutdown.feature", createSteps(), {
  createWorld: () => new World(),
});
