/** The command line interface. */

import { Command } from "commander";
import { checkCommand } from "./check_command.ts";
import { configCommand } from "./config_commands.ts";
import { addDaemonCommands } from "./daemon_commands.ts";
import { addExplainCommand } from "./explain_command.ts";
import { EXIT_CODES_HELP } from "./fleet_options.ts";
import { reportCommand } from "./report_commands.ts";
import { statusCommand } from "./status_command.ts";

/** Returns the program with all its commands. */
export function createProgram(): Command {
  const program = new Command("oriolerouter")
    .description("Router fleet for teams who share model capacity fairly")
    .version("0.1.0")
    .addHelpText("after", EXIT_CODES_HELP);
  addDaemonCommands(program);
  program.addCommand(checkCommand());
  program.addCommand(configCommand());
  program.addCommand(statusCommand());
  addExplainCommand(program);
  program.addCommand(reportCommand());
  return program;
}
