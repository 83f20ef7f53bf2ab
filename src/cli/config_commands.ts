/** The commands `config validate|diff|apply|show|history`. */

import { readFile } from "node:fs/promises";
import { userInfo } from "node:os";
import { Command } from "commander";
import { createTwoFilesPatch } from "diff";
import { systemClock } from "../common/clock.ts";
import { Deadline } from "../common/deadline.ts";
import { formatFindings } from "../common/finding.ts";
import {
  type ApplyError,
  apply,
  type Document,
  readDocument,
  type StoredDocument,
  validate,
} from "../configuration/mod.ts";
import { describeStoreError, ObjectStore } from "../platform/mod.ts";
import { table } from "../report/mod.ts";
import { ExitCode } from "./exit_code.ts";
import {
  type FleetOptions,
  fail,
  fleetCommand,
  platformCommand,
  print,
} from "./fleet_options.ts";
import * as rollout from "./version_rollout.ts";

const APPLY_TIMEOUT_MS = 30_000;

/** Returns the command `config` with its subcommands. */
export function configCommand(): Command {
  return new Command("config")
    .description("Check, compare, apply and show the configuration")
    .addCommand(validateCommand())
    .addCommand(diffCommand())
    .addCommand(applyCommand())
    .addCommand(showCommand())
    .addCommand(historyCommand());
}

function validateCommand(): Command {
  return new Command("validate")
    .description("Check a document without applying it")
    .argument("<file>", "JSON document")
    .option("--json", "print JSON")
    .addHelpText("after", "\nExample:\n  oriolerouter config validate c.json")
    .action(async (file: string, { json }: { json?: boolean }) => {
      const text = await readText(file);
      const findings = validate(text).match(
        () => [],
        (found) => found,
      );
      print(
        json,
        { findings },
        formatFindings(findings) || "Document is valid",
      );
      process.exit(findings.length === 0 ? ExitCode.OK : ExitCode.FAILED);
    });
}

function diffCommand(): Command {
  return platformCommand("diff")
    .description("Show what a document would change")
    .argument("<file>", "JSON document")
    .addHelpText("after", "\nExample:\n  oriolerouter config diff new.json")
    .action(async (file: string, options: FleetOptions) => {
      const text = await readText(file);
      const { version, document } = await readCurrent(options);
      const before = document === null ? "" : formatDocument(document);
      const after = normalise(text);
      const patch = createTwoFilesPatch(
        `version ${version}`,
        file,
        before,
        after,
      );
      const same = before === after;
      print(options.json, { version, same, patch }, same ? "Same" : patch);
    });
}

interface ApplyOptions extends FleetOptions {
  readonly expect?: string;
  readonly comment: string;
  readonly wait?: string;
}

function applyCommand(): Command {
  return fleetCommand("apply")
    .description("Put a document in force")
    .argument("<file>", "JSON document")
    .option("--expect <version>", "apply only if this version is in force")
    .option("--comment <text>", "why, for the history", "")
    .option("--wait <seconds>", "wait until every process has it")
    .addHelpText(
      "after",
      "\nExample:\n  oriolerouter config apply new.json --expect 7 --wait 10",
    )
    .action(async (file: string, options: ApplyOptions) => {
      const text = await readText(file);
      const document = validate(text);
      if (document.isErr())
        fail(ExitCode.USAGE, formatFindings(document.error));
      const version = await applyDocument(document.value, options);
      await reportApplied(version, options);
    });
}

async function applyDocument(
  document: Document,
  options: ApplyOptions,
): Promise<number> {
  const { expect, comment, platform } = options;
  const store = new ObjectStore(platform);
  const applied = await apply(
    store,
    {
      document,
      operator: userInfo().username,
      comment,
      expected: expect === undefined ? null : Number(expect),
    },
    {
      clock: systemClock,
      deadline: new Deadline(systemClock, APPLY_TIMEOUT_MS),
    },
  );
  await store.close();
  return applied.match((version) => version, exitWithApplyError);
}

async function reportApplied(
  version: number,
  options: ApplyOptions,
): Promise<void> {
  const { wait, json } = options;
  const applied = `Version ${version} is in force in the store`;
  if (wait === undefined) {
    print(json, { version }, applied);
    return;
  }
  const deadline = new Deadline(systemClock, Number(wait) * 1_000);
  const { having, total } = await rollout.waitForVersion(
    options,
    version,
    deadline,
  );
  const text = `${applied}; ${having} of ${total} processes have it`;
  print(json, { version, having, total }, text);
  process.exit(having === total ? ExitCode.OK : ExitCode.FAILED);
}

function showCommand(): Command {
  return platformCommand("show")
    .description("Show the configuration in force")
    .addHelpText("after", "\nExample:\n  oriolerouter config show > c.json")
    .action(async (options: FleetOptions) => {
      const { version, document } = await readCurrent(options);
      if (document === null)
        fail(ExitCode.FAILED, "No configuration is stored");
      print(
        options.json,
        { version, document },
        formatDocument(document).trimEnd(),
      );
    });
}

function historyCommand(): Command {
  return platformCommand("history")
    .description("Show who changed the configuration, newest first")
    .addHelpText("after", "\nExample:\n  oriolerouter config history")
    .action(async (options: FleetOptions) => {
      const { record } = await readCurrent(options);
      const rows = record.history.map((change) => [
        String(change.version),
        change.appliedAt,
        change.operator,
        change.comment,
      ]);
      const header = ["VERSION", "APPLIED AT", "OPERATOR", "COMMENT"];
      print(options.json, record.history, table([header, ...rows]));
    });
}

async function readCurrent({
  platform,
}: FleetOptions): Promise<StoredDocument> {
  const store = new ObjectStore(platform);
  const stored = await readDocument(store);
  await store.close();
  return stored.match((value) => value, exitWithApplyError);
}

function exitWithApplyError(error: ApplyError): never {
  switch (error.type) {
    case "conflict":
      return fail(
        ExitCode.CONFLICT,
        `Version ${error.current} is in force; compare with it and apply again`,
      );
    case "unavailable":
      return fail(ExitCode.UNAVAILABLE, describeStoreError(error.error));
    case "unreadable":
      return fail(
        ExitCode.FAILED,
        "The stored object is not a valid configuration",
      );
    default:
      return error satisfies never;
  }
}

async function readText(file: string): Promise<string> {
  try {
    return await readFile(file, "utf8");
  } catch {
    return fail(ExitCode.USAGE, `Can't read ${file}`);
  }
}

/** Order of sections in printed documents: a diff shows only changes. */
const SECTIONS = ["services", "contracts", "teams", "rules", "targets"];

function formatDocument(document: object): string {
  const entries = Object.entries(document).sort(
    ([a], [b]) => SECTIONS.indexOf(a) - SECTIONS.indexOf(b),
  );
  return `${JSON.stringify(Object.fromEntries(entries), null, 2)}\n`;
}

/** Returns text that isn't JSON as it is. */
function normalise(text: string): string {
  try {
    return formatDocument(JSON.parse(text));
  } catch {
    return text;
  }
}
