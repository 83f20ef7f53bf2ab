/** `status`: what every process says of itself. */

import type { Command } from "commander";
import { type Gathered, gather, table } from "../report/mod.ts";
import { ExitCode } from "./exit_code.ts";
import {
  type FleetOptions,
  fail,
  fleetCommand,
  print,
} from "./fleet_options.ts";

/** Returns the command. */
export function statusCommand(): Command {
  return fleetCommand("status")
    .description("Show every process, its version and its work")
    .addHelpText("after", "\nExample:\n  oriolerouter status --json")
    .action(async (options: FleetOptions) => {
      const { platform: platformUrl, operatorKey } = options;
      const access = { platformUrl, operatorKey };
      const gathered = await gather(access, "/status", { wanted: () => true });
      if (gathered.isErr()) fail(ExitCode.UNAVAILABLE, gathered.error);
      const header = [
        ...["INSTANCE", "ROLE", "ZONE", "LISTED", "VERSION"],
        ...["IN PROGRESS", "WAITING"],
      ];
      const rows = gathered.value.map(toRow);
      print(options.json, gathered.value, table([header, ...rows]));
      const silent = gathered.value.some(({ page }) => page === null);
      process.exit(silent ? ExitCode.UNAVAILABLE : ExitCode.OK);
    });
}

function toRow({ instance, page }: Gathered): string[] {
  const { name, role, availabilityZone, state } = instance;
  const place = [name, role, availabilityZone, state];
  if (page === null) return [...place, "no answer", "", ""];
  const status = page as Record<string, unknown>;
  const inProgress = status.running ?? status.inProgress;
  const shown = [status.configurationVersion, inProgress, status.waiting];
  return [...place, ...shown.map((value) => String(value ?? ""))];
}
