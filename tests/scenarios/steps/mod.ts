/** Collects the step definitions of all scenarios. */

import { StepRegistry } from "../../support/step_registry.ts";
import type { World } from "../../support/world.ts";
import { addBackPressureSteps } from "./back_pressure_steps.ts";
import { addCallerSteps } from "./caller_steps.ts";
import { addConfigurationSteps } from "./configuration_steps.ts";
import { addCrashSteps } from "./crash_steps.ts";
import { addFairnessSteps } from "./fairness_steps.ts";
import { addFaultSteps } from "./fault_steps.ts";
import { addFleetSteps } from "./fleet_steps.ts";
import { addKeySteps } from "./key_steps.ts";
import { addOutcomeSteps } from "./outcome_steps.ts";
import { addTimingSteps } from "./timing_steps.ts";

/** Returns a registry with all step definitions. */
export function createSteps(): StepRegistry<World> {
  const steps = new StepRegistry<World>();
  addBackPressureSteps(steps);
  addFleetSteps(steps);
  addCrashSteps(steps);
  addFairnessSteps(steps);
  addKeySteps(steps);
  addFaultSteps(steps);
  addCallerSteps(steps);
  addConfigurationSteps(steps);
  addOutcomeSteps(steps);
  addTimingSteps(steps);
  return steps;
}
