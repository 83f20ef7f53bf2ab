/** The command line. */

import { Command } from "commander";
import { addDaemonCommands } from "./daemon_commands.ts";

/** Returns the program with all its commands. */
export function createProgram(): Command {
  const program = new Command("oriolerouter")
    .description("Router fleet for teams who share model capacity fairly")
    .version("0.1.0");
  addDaemonCommands(program);
  return program;
}
