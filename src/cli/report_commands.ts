/** The command `report burn`. */

import { writeFile } from "node:fs/promises";
import { Command } from "commander";
import {
  type BurnLine,
  burnHtml,
  burnText,
  gatherBurn,
} from "../report/mod.ts";
import { ExitCode } from "./exit_code.ts";
import {
  type FleetOptions,
  fail,
  fleetCommand,
  print,
} from "./fleet_options.ts";

interface BurnOptions extends FleetOptions {
  readonly html?: string;
}

/** Returns the command `report` with its subcommands. */
export function reportCommand(): Command {
  return new Command("report")
    .description("Reports on the fleet")
    .addCommand(burnCommand());
}

function burnCommand(): Command {
  return fleetCommand("burn")
    .description("Show how fast service-level budgets are used up")
    .option("--html <file>", "write a page with plots")
    .addHelpText(
      "after",
      "\nExample:\n  oriolerouter report burn --html burn.html",
    )
    .action(async (options: BurnOptions) => {
      const lines = await fetchLines(options);
      if (options.html !== undefined) {
        await writeFile(options.html, burnHtml(lines, new Date()));
      }
      print(options.json, lines, burnText(lines));
    });
}

async function fetchLines(options: BurnOptions): Promise<readonly BurnLine[]> {
  const { platform: platformUrl, operatorKey } = options;
  const report = await gatherBurn({ platformUrl, operatorKey });
  if (report.isErr()) fail(ExitCode.UNAVAILABLE, report.error);
  for (const name of report.value.unansweredRouters) {
    process.stderr.write(`Router ${name} did not answer\n`);
  }
  return report.value.lines;
}
