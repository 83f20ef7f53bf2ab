/** `npm run demo`: starts a whole fleet on loopback under a mixed load. */

import { writeFile } from "node:fs/promises";
import { Command } from "commander";
import {
  type BurnLine,
  burnText,
  gatherBurn,
  table,
} from "../../src/report/mod.ts";
import { Fleet, OPERATOR_KEY } from "../fleet/fleet.ts";
import { close } from "../load/caller.ts";
import { fairnessGap } from "../load/fairness_gap.ts";
import { summarise, type TeamSummary } from "../load/summary.ts";
import { type LoadRecord, runOpenLoop } from "../load/workload.ts";
import { demoLoads, demoOptions, demoPlan } from "./load.ts";

const BURN_LINES = 6;
const PROGRESS_INTERVAL_MS = 3_000;

interface DemoOptions {
  readonly json?: boolean;
  readonly hold?: boolean;
  readonly addresses?: string;
}

async function main(options: DemoOptions): Promise<void> {
  const log = (message: string) => process.stderr.write(`${message}\n`);
  log("Starting 1 platform, 3 routers, 9 side processes, 9 backend servers");
  const fleet = await Fleet.start(demoPlan());
  try {
    if (options.addresses !== undefined) {
      await writeFile(options.addresses, formatAddresses(fleet));
    }
    if (options.hold === true) await holdUntilSignal(log);
    else await runLoad(fleet, options, log);
  } finally {
    await close();
    await fleet.stop();
  }
}

async function holdUntilSignal(log: (message: string) => void): Promise<void> {
  log("The fleet is up; SIGINT ends it");
  await new Promise<void>((resolve) => {
    process.once("SIGINT", () => resolve());
    process.once("SIGTERM", () => resolve());
  });
}

async function runLoad(
  fleet: Fleet,
  options: DemoOptions,
  log: (message: string) => void,
): Promise<void> {
  const loadOptions = demoOptions(fleet.routers.map(({ url }) => url));
  log(`Sending load of 16 teams for ${loadOptions.durationMs / 1_000} s`);
  const timer = setInterval(
    () => void logProgress(fleet, log),
    PROGRESS_INTERVAL_MS,
  );
  const records = await runOpenLoop(demoLoads(fleet.plan), loadOptions);
  clearInterval(timer);
  const truthful = records.every(({ result }) => isTruthful(result.type));
  await printResult(fleet, records, { json: options.json === true, truthful });
  if (!truthful) process.exitCode = 1;
}

function isTruthful(type: string): boolean {
  return type === "answered" || type === "refused";
}

async function logProgress(
  fleet: Fleet,
  log: (message: string) => void,
): Promise<void> {
  const states = await Promise.all(
    fleet.routers.map((one) => fleet.status(one)),
  );
  const open = states.reduce((sum, one) => sum + Number(one?.open ?? 0), 0);
  const waiting = states.reduce(
    (sum, one) => sum + Number(one?.waiting ?? 0),
    0,
  );
  log(`${open} requests in progress, ${waiting} of them waiting`);
}

async function printResult(
  fleet: Fleet,
  records: readonly LoadRecord[],
  { json, truthful }: { readonly json: boolean; readonly truthful: boolean },
): Promise<void> {
  const teams = summarise(records);
  const model = records.filter(({ load }) => load.type === "model");
  const gap = fairnessGap(model);
  const burn = (await readBurn(fleet)).slice(0, BURN_LINES);
  if (json) {
    process.stdout.write(`${JSON.stringify({ truthful, teams, gap, burn })}\n`);
    return;
  }
  const lines = [
    table([TABLE_HEADER, ...teams.map(toRow)]),
    "",
    `Largest gap between two teams that waited: ${Math.round(gap.amount)} ` +
      `units (${gap.teams.join(" and ")}), ` +
      `${gap.inLargestRequests.toFixed(1)} times the largest request`,
    "",
    "Service-level burn, worst first:",
    burnText(burn),
    "",
    truthful
      ? "Every caller got its own whole answer or a truthful refusal"
      : "Some callers did NOT get their own whole answer or a refusal",
  ];
  process.stdout.write(`${lines.join("\n")}\n`);
}

const TABLE_HEADER = [
  ...["TEAM", "SENT", "ANSWERED", "REFUSED", "FAILED", "WRONG"],
  ...["FIRST TOKEN P50", "P95", "NORMALISED SERVICE"],
];

function toRow(team: TeamSummary): string[] {
  const ms = (value: number | null) =>
    value === null ? "-" : `${Math.round(value)} ms`;
  const { sent, answered, refused, failed, wrong } = team;
  return [
    team.team,
    ...[sent, answered, refused, failed, wrong].map(String),
    ms(team.firstTokenP50Ms),
    ms(team.firstTokenP95Ms),
    String(Math.round(team.normalisedService)),
  ];
}

async function readBurn(fleet: Fleet): Promise<readonly BurnLine[]> {
  const access = { platformUrl: fleet.platformUrl, operatorKey: OPERATOR_KEY };
  return (await gatherBurn(access)).match(
    ({ lines }) => lines,
    () => [],
  );
}

function formatAddresses(fleet: Fleet): string {
  return JSON.stringify(
    {
      platform: fleet.platformUrl,
      operatorKey: OPERATOR_KEY,
      routers: fleet.routers.map(({ url, child }) => ({ url, pid: child.pid })),
      sideProcesses: fleet.sideProcesses.map(
        ({ instance, backend, child }) => ({
          service: instance.service,
          backendServer: backend.url,
          pid: child.pid,
        }),
      ),
      engines: fleet.backends.map(({ service, url, child }) => ({
        ...{ service, url, pid: child.pid },
      })),
      teams: fleet.plan.teams,
    },
    null,
    2,
  );
}

const program = new Command("demo")
  .description("Start a whole fleet on loopback and send it a mixed load")
  .option("--json", "print the result as one JSON object")
  .option("--hold", "keep the fleet up until SIGINT, and send no load")
  .option("--addresses <file>", "write where everything listens, as JSON")
  .action(main);
await program.parseAsync();
