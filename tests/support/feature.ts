/** Runs the scenarios of a Gherkin file, each as one test. */

import { readFileSync } from "node:fs";
import { test } from "node:test";
import {
  AstBuilder,
  compile,
  GherkinClassicTokenMatcher,
  Parser,
} from "@cucumber/gherkin";
import { IdGenerator, type Pickle } from "@cucumber/messages";
import type { StepRegistry } from "./step_registry.ts";

const SCENARIO_TIMEOUT_MS = 180_000;
const FEATURE_FOLDER = "tests/scenarios";

/** State that the steps of a scenario share; closed after the scenario. */
export interface ScenarioWorld {
  close(failed: boolean): Promise<void>;
}

/** Declares one test per scenario of a file in tests/scenarios. */
export function runFeature<World extends ScenarioWorld>(
  file: string,
  steps: StepRegistry<World>,
  { createWorld }: { readonly createWorld: () => World },
): void {
  for (const pickle of readScenarios(file)) {
    const options = { timeout: SCENARIO_TIMEOUT_MS };
    test(pickle.name, options, async () => {
      const world = createWorld();
      let failed = true;
      try {
        for (const { text } of pickle.steps) await runStep(world, text, steps);
        failed = false;
      } finally {
        await world.close(failed);
      }
    });
  }
}

async function runStep<World>(
  world: World,
  text: string,
  steps: StepRegistry<World>,
): Promise<void> {
  try {
    await steps.run(world, text);
  } catch (error) {
    throw new Error(`Step "${text}" failed: ${(error as Error).message}`, {
      cause: error,
    });
  }
}

function readScenarios(file: string): readonly Pickle[] {
  const newId = IdGenerator.incrementing();
  const parser = new Parser(
    new AstBuilder(newId),
    new GherkinClassicTokenMatcher(),
  );
  const path = `${FEATURE_FOLDER}/${file}`;
  return compile(parser.parse(readFileSync(path, "utf8")), path, newId);
}
