/** The command `explain`: evaluates the rules for one request. */

import { readFile } from "node:fs/promises";
import type { Command } from "commander";
import { formatFindings } from "../common/finding.ts";
import {
  type Document,
  explain,
  type RequestFacts,
  type RuleEvaluation,
  readDocument,
  validate,
} from "../configuration/mod.ts";
import { ObjectStore } from "../platform/mod.ts";
import { ExitCode } from "./exit_code.ts";
import { fail, print } from "./fleet_options.ts";

interface ExplainOptions {
  readonly file?: string;
  readonly platform?: string;
  readonly team: string;
  readonly service: string;
  readonly kind: string;
  readonly method: string;
  readonly path: string;
  readonly header: readonly string[];
  readonly hint: string;
  readonly zone: string;
  readonly at?: string;
  readonly json?: boolean;
}

/** Adds the command `explain`. */
export function addExplainCommand(program: Command): void {
  program
    .command("explain")
    .description("Tell which rule takes a request, and why not those before")
    .option("--file <file>", "document; the one in force when absent")
    .option("--platform <url>", "URL of the platform")
    .requiredOption("--team <name>", "team that sends the request")
    .requiredOption("--service <name>", "service that it names")
    .option("--kind <kind>", "Oriole-Kind", "default")
    .option("--method <method>", "HTTP method", "POST")
    .option("--path <path>", "path at the service", "/v1/chat/completions")
    .option("--header <name=value>", "a header, repeatable", appendValue, [])
    .option("--hint <units>", "Oriole-Cost-Hint", "0")
    .option("--zone <name>", "availability zone of the router", "")
    .option("--at <HH:MM>", "time of day in UTC; now when absent")
    .option("--json", "print JSON")
    .addHelpText(
      "after",
      "\nExample:\n  oriolerouter explain --file c.json --team desk-01 " +
        "--service desk-app --kind notice",
    )
    .action(runExplain);
}

async function runExplain(options: ExplainOptions): Promise<void> {
  const document = await loadDocument(options);
  const evaluations = explain(document.rules, toRequestFacts(options));
  const matched =
    evaluations.at(-1)?.failed.length === 0 ? evaluations.at(-1) : null;
  const lines = evaluations.map(describe);
  if (matched === null || matched === undefined) {
    lines.push("No rule matches: the request is admitted");
  }
  const rule = matched?.rule ?? null;
  print(options.json, { rule, trials: evaluations }, lines.join("\n"));
}

function describe({ rule, failed }: RuleEvaluation): string {
  if (failed.length > 0) {
    return `- ${rule.name}: does not match on ${failed.join(", ")}`;
  }
  return `+ ${rule.name}: matches; ${JSON.stringify(rule.then)}`;
}

async function loadDocument({
  file,
  platform,
}: ExplainOptions): Promise<Document> {
  if (file !== undefined) {
    const text = await readFile(file, "utf8").catch(() =>
      fail(ExitCode.USAGE, `Can't read document ${file}`),
    );
    return validate(text).match(
      (document) => document,
      (findings) => fail(ExitCode.USAGE, formatFindings(findings)),
    );
  }
  const url = platform ?? process.env.ORIOLE_PLATFORM;
  if (url === undefined) {
    fail(ExitCode.USAGE, "Give --file or --platform");
  }
  const store = new ObjectStore(url);
  const stored = await readDocument(store);
  await store.close();
  return stored.match(
    ({ document }) =>
      document ?? fail(ExitCode.FAILED, "No configuration is stored"),
    ({ type }) =>
      fail(
        ExitCode.UNAVAILABLE,
        `Can't read the stored configuration: ${type}`,
      ),
  );
}

function toRequestFacts(options: ExplainOptions): RequestFacts {
  const at = options.at ?? new Date().toISOString().slice(11, 16);
  const [hours, minutes] = at.split(":").map(Number);
  const headers = options.header.map((header): [string, string] => {
    const separatorIndex = header.indexOf("=");
    return [
      header.slice(0, separatorIndex).toLowerCase(),
      header.slice(separatorIndex + 1),
    ];
  });
  return {
    team: options.team,
    service: options.service,
    kind: options.kind,
    method: options.method,
    path: options.path,
    headers: Object.fromEntries(headers),
    costHint: Number(options.hint),
    availabilityZone: options.zone,
    minuteOfDay: (hours ?? 0) * 60 + (minutes ?? 0),
  };
}

function appendValue(value: string, values: string[]): string[] {
  return [...values, value];
}
