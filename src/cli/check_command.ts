/** The command `check`. */

import { readFile } from "node:fs/promises";
import { Command } from "commander";
import { type Check, checkDocument, formatCheck } from "../checking/mod.ts";
import { messageOf } from "../common/error_message.ts";
import { formatFindings } from "../common/finding.ts";
import { ExitCode } from "./exit_code.ts";
import { fail, print } from "./fleet_options.ts";

/** Options of a check, also of that of the platform's format. */
export interface CheckOptions {
  readonly against?: string;
  readonly json?: boolean;
}

const EXAMPLE = `
Example:
  oriolerouter config show > in-force.json
  oriolerouter check new.json --against in-force.json`;

/** Returns the command `check`. */
export function checkCommand(): Command {
  return addCheckOptions(new Command("check"))
    .addHelpText("after", EXAMPLE)
    .action(async (file: string, options: CheckOptions) => {
      const against =
        options.against === undefined ? null : await readInput(options.against);
      const check = checkDocument(await readInput(file), against);
      if (check.isOk()) printCheck(check.value, options);
      else
        fail(
          ExitCode.USAGE,
          `${options.against}: ${formatFindings(check.error)}`,
        );
    });
}

/** Adds the description, the argument and the options of a check. */
export function addCheckOptions(command: Command): Command {
  return command
    .description("Check a configuration before it is sent; contacts nothing")
    .argument("<file>", "the new configuration")
    .option("--against <file>", "the configuration in force, to compare with")
    .option("--json", "print JSON");
}

/** Reads a file; exits if that fails. */
export async function readInput(file: string): Promise<string> {
  try {
    return await readFile(file, "utf8");
  } catch (error) {
    return fail(ExitCode.USAGE, messageOf(error));
  }
}

/** Prints a check; differences alone don't fail it. */
export function printCheck(check: Check, { json }: CheckOptions): void {
  print(json, check, formatCheck(check));
  process.exitCode =
    check.concerns.length === 0 ? ExitCode.OK : ExitCode.FAILED;
}
