/** Runs own_whole_answer.feature. */

import { runFeature } from "../support/feature.ts";
import { World } from "../support/world.ts";
import { createSteps } from "./steps/mod.ts";

runFeature("own_whole_answer.feature", createSteps(), {
  createWorld: () => new World(),
});
