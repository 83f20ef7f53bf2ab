/** Options and output shared by the commands for operators. */

import { Command, Option } from "commander";
import { ExitCode } from "./exit_code.ts";

/** Options of commands that contact the platform or the processes. */
export interface FleetOptions {
  readonly platform: string;
  readonly operatorKey: string;
  readonly json?: boolean;
}

/** Returns a command with the option `--platform`. */
export function platformCommand(name: string): Command {
  return new Command(name)
    .addOption(
      new Option("--platform <url>", "URL of the platform")
        .env("ORIOLE_PLATFORM")
        .makeOptionMandatory(),
    )
    .option("--json", "print JSON");
}

/** Returns a command that also needs the operators' key of the processes. */
export function fleetCommand(name: string): Command {
  return platformCommand(name).addOption(
    new Option("--operator-key <key>", "key of the operators' endpoints")
      .env("ORIOLE_OPERATOR_KEY")
      .makeOptionMandatory(),
  );
}

/** Prints a value as JSON or as text. */
export function print(
  json: boolean | undefined,
  value: unknown,
  text: string,
): void {
  const shown = json === true ? JSON.stringify(value, null, 2) : text;
  process.stdout.write(`${shown}\n`);
}

/** Prints the sentence on standard error and exits. */
export function fail(code: ExitCode, sentence: string): never {
  process.stderr.write(`${sentence}\n`);
  process.exit(code);
}

/** Explanation of the exit codes, shown by `--help`. */
export const EXIT_CODES_HELP = `
Exit codes:
  ${ExitCode.OK}  done
  ${ExitCode.FAILED}  a check found something, or a wait ended unmet
  ${ExitCode.USAGE}  the command's words or its input are wrong
  ${ExitCode.CONFLICT}  another operator's change came first
  ${ExitCode.UNAVAILABLE}  the platform or a process did not answer`;
