/** Definitions of Gherkin steps, matched by Cucumber expressions. */

import {
  CucumberExpression,
  ParameterTypeRegistry,
} from "@cucumber/cucumber-expressions";

/** Runs a step; the arguments are what the expression matched. */
export type StepAction<World> = (
  world: World,
  ...args: never[]
) => Promise<void> | void;

interface Step<World> {
  readonly expression: CucumberExpression;
  readonly action: StepAction<World>;
}

/** The step definitions that scenarios can use. */
export class StepRegistry<World> {
  readonly #parameterTypes = new ParameterTypeRegistry();
  readonly #steps: Step<World>[] = [];

  /** Adds a step definition; `text` is a Cucumber expression. */
  define(text: string, action: StepAction<World>): void {
    const expression = new CucumberExpression(text, this.#parameterTypes);
    this.#steps.push({ expression, action });
  }

  /** Runs the step that matches `text`; rejects unless exactly one does. */
  async run(world: World, text: string): Promise<void> {
    const matches = this.#steps.flatMap(({ expression, action }) => {
      const args = expression.match(text);
      return args === null ? [] : [{ args, action }];
    });
    if (matches.length !== 1) {
      throw new Error(
        `${matches.length} step definitions match "${text}", expected 1`,
      );
    }
    for (const { args, action } of matches) {
      const values = args.map((arg) => arg.getValue(null)) as never[];
      await action(world, ...values);
    }
  }
}
