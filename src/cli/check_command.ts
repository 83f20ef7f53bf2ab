/** The command `check`. */

import { readFile } from "node:fs/promises";
import { Command } from "commander";
import type { Result } from "neverthrow";
import { type Check, checkDocument, formatCheck } from "../checking/mod.ts";
import { messageOf } from "../common/error_message.ts";
import { type Finding, formatFindings } from "../common/finding.ts";
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
    .action((file: string, options: CheckOptions) =>
      runCheck(checkDocument, file, options),
    );
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
async function readInput(file: string): Promise<string> {
  try {
    return await readFile(file, "utf8");
  } catch (error) {
    return fail(ExitCode.USAGE, messageOf(error));
  }
}

/**
 * Checks a file and prints the result; exits if a file can't be read. Differences
 * alone don't fail the check.
 *
 * @param check checks a text against another one, null for none; fails if the
 *   other one can't be read
 */
export async function runCheck(
  check: (text: string, against: string | null) => Result<Check, Finding[]>,
  file: string,
  { against, json }: CheckOptions,
): Promise<void> {
  const inForce = against === undefined ? null : await readInput(against);
  const checked = check(await readInput(file), inForce);
  if (checked.isErr())
    fail(ExitCode.USAGE, `${against}: ${formatFindings(checked.error)}`);
  const { concerns } = checked.value;
  print(json, checked.value, formatCheck(checked.value));
  process.exitCode = concerns.length === 0 ? ExitCode.OK : ExitCode.FAILED;
}
