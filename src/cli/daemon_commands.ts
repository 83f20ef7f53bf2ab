/** Commands that run a router or side process until a signal. */

import type { Command } from "commander";
import { surviveDefects } from "../common/defects.ts";
import { messageOf } from "../common/error_message.ts";
import { formatFindings } from "../common/finding.ts";
import { flush, logger, setLevel } from "../common/log.ts";
import { waitForTermination } from "../common/promises.ts";
import type { Schema } from "../common/schema.ts";
import {
  loadSettings,
  routerSettingsSchema,
  sideProcessSettingsSchema,
} from "../configuration/mod.ts";
import { Router } from "../router/mod.ts";
import { SideProcess } from "../side_process/mod.ts";
import { ExitCode } from "./exit_code.ts";

const log = logger("cli");

interface DaemonProcess {
  start(): Promise<void>;
  close(): Promise<void>;
}

interface DaemonSettings {
  readonly logLevel?: "debug" | "info" | "warn" | "error";
}

/** Adds the commands `router` and `side-process`. */
export function addDaemonCommands(program: Command): void {
  addDaemon(program, "router", {
    description: "Run a router until SIGTERM or SIGINT",
    schema: routerSettingsSchema,
    create: (settings) => new Router(settings),
  });
  addDaemon(program, "side-process", {
    description: "Run the side process of a backend server until a signal",
    schema: sideProcessSettingsSchema,
    create: (settings) => new SideProcess(settings),
  });
}

function addDaemon<T extends DaemonSettings>(
  program: Command,
  name: string,
  daemon: {
    readonly description: string;
    readonly schema: Schema<T>;
    readonly create: (settings: T) => DaemonProcess;
  },
): void {
  program
    .command(name)
    .description(daemon.description)
    .requiredOption("--settings <file>", "JSON file with the settings")
    .addHelpText(
      "after",
      `\nExample:\n  oriolerouter ${name} --settings ${name}.json`,
    )
    .action(async ({ settings: file }: { settings: string }) => {
      const settings = await loadSettings(file, daemon.schema);
      if (settings.isErr()) {
        log.error(`Invalid settings in ${file}`);
        process.stderr.write(`${formatFindings(settings.error)}\n`);
        process.exit(ExitCode.USAGE);
      }
      setLevel(settings.value.logLevel ?? "info");
      await runUntilSignal(daemon.create(settings.value));
    });
}

async function runUntilSignal(daemon: DaemonProcess): Promise<void> {
  const terminated = waitForTermination();
  try {
    await daemon.start();
  } catch (error) {
    log.error(`Can't start: ${messageOf(error)}`);
    process.exit(ExitCode.UNAVAILABLE);
  }
  surviveDefects(({ stack }) => log.error(`Unexpected error: ${stack}`));
  await terminated;
  await daemon.close();
  await flush();
  process.exit(ExitCode.OK);
}
