/** Steps of the scenario language, matched by cucumber expressions. */

import {
  CucumberExpression,
  ParameterTypeRegistry,
} from "@cucumber/cucumber-expressions";

/** Acts on a world with the step's arguments. */
export type StepAction<World> = (
  world: World,
  ...args: never[]
) => Promise<void> | void;

interface Step<World> {
  readonly expression: CucumberExpression;
  readonly action: StepAction<World>;
}

/** All steps that scenarios can use. */
export class StepRegistry<World> {
  readonly #parameterTypes = new ParameterTypeRegistry();
  readonly #steps: Step<World>[] = [];

  /** Defines a step. */
  define(text: string, action: StepAction<World>): void {
    const expression = new CucumberExpression(text, this.#parameterTypes);
    this.#steps.push({ expression, action });
  }

  /** Runs the one step that matches a text. */
  async run(world: World, text: string): Promise<void> {
    const matches = this.#steps.flatMap(({ expression, action }) => {
      const args = expression.match(text);
      return args === null ? [] : [{ args, action }];
    });
    if (matches.length !== 1) {
      throw new Error(`${matches.length} steps match "${text}"`);
    }
    for (const { args, action } of matches) {
      const values = args.map((arg) => arg.getValue(null)) as never[];
      await action(world, ...values);
    }
  }
}
