/** The command `status`: shows what every process reports. */

import type { Command } from "commander";
import { type GatheredPage, gatherPages, table } from "../report/mod.ts";
import { ExitCode } from "./exit_code.ts";
import {
  type FleetOptions,
  fail,
  fleetCommand,
  print,
} from "./fleet_options.ts";

/** Returns the command `status`. */
export function statusCommand(): Command {
  return fleetCommand("status")
    .description("Show every process, its version and its work")
    .addHelpText("after", "\nExample:\n  oriolerouter status --json")
    .action(async (options: FleetOptions) => {
      const { platform: platformUrl, operatorKey } = options;
      const access = { platformUrl, operatorKey };
      const pages = await gatherPages(access, "/status", {
        filter: () => true,
      });
      if (pages.isErr()) fail(ExitCode.UNAVAILABLE, pages.error);
      const header = [
        ...["INSTANCE", "ROLE", "ZONE", "LISTED", "VERSION"],
        ...["IN PROGRESS", "WAITING"],
      ];
      const rows = pages.value.map(toRow);
      print(options.json, pages.value, table([header, ...rows]));
      const anyUnanswered = pages.value.some(({ page }) => page === null);
      process.exit(anyUnanswered ? ExitCode.UNAVAILABLE : ExitCode.OK);
    });
}

function toRow({ instance, page }: GatheredPage): string[] {
  const { name, role, availabilityZone, state } = instance;
  const instanceCells = [name, role, availabilityZone, state];
  if (page === null) return [...instanceCells, "no answer", "", ""];
  const status = page as Record<string, unknown>;
  const inProgress = status.running ?? status.inProgress;
  const statusValues = [
    status.configurationVersion,
    inProgress,
    status.waiting,
  ];
  return [
    ...instanceCells,
    ...statusValues.map((value) => String(value ?? "")),
  ];
}
