/** `npm run bench`: runs measurements with real processes and prints them. */

import { Command } from "commander";
import { table } from "../src/report/mod.ts";
import { close } from "../tools/load/caller.ts";
import { POLICIES } from "./baselines/policy.ts";
import { type ContentionFigures, measureContention } from "./contention.ts";
import { measureCrashReports } from "./crash_reports.ts";
import { fullSizeText } from "./full_size.ts";
import { measureLatency } from "./latency.ts";
import { measureMemory } from "./memory.ts";
import type { Slope } from "./slope.ts";
import { measureSlopes } from "./slopes.ts";
import type { Design } from "./system_under_test.ts";
import {
  createWorkload,
  type DeploymentName,
  type LoadName,
} from "./workloads.ts";

interface ContentionCommandOptions {
  readonly deployment: DeploymentName;
  readonly load: LoadName;
  readonly designs: string;
  readonly seed: string;
  readonly seconds: string;
  readonly delayMs: string;
  readonly json?: boolean;
}

const program = new Command("bench").description(
  "Measure the fleet on one machine, with stand-in engines",
);
addContentionCommand("fairness", ["oriolerouter", ...POLICIES]);
addContentionCommand("utilisation", ["oriolerouter", ...POLICIES]);
addContentionCommand("control", ["oriolerouter"]);
program
  .command("latency")
  .description("Time added to the first token; requests a router carries")
  .option("--seed <number>", "seed of the load", "1")
  .option("--seconds <number>", "length of the load", "15")
  .action(async ({ seed, seconds }: { seed: string; seconds: string }) => {
    const durationMs = Number(seconds) * 1_000;
    printJson(await measureLatency({ seed: Number(seed), durationMs }));
  });
program
  .command("memory")
  .description("Resident memory at rest and with 1,000 streams")
  .action(async () => printJson(await measureMemory()));
program
  .command("crash-reports")
  .description("Messages and processor time that crash reports cost a router")
  .option("--routers <numbers>", "sizes, by commas", "30,100,300")
  .option("--controllers-per-router <number>", "admission controllers", "1.8")
  .option("--relays <number>", "controllers that relay each report", "2")
  .action(measureCrashReportSizes);
program
  .command("slopes")
  .description("Cost per connection, request, team, grant, update and change")
  .option("--json", "print JSON only")
  .action(async ({ json }: { json?: boolean }) => {
    const slopes = await measureSlopes();
    if (json) printJson(slopes);
    else console.log(`${slopesTable(slopes)}\n\n${fullSizeText(slopes)}`);
  });
await program.parseAsync();
await close();

function addContentionCommand(name: string, designs: readonly Design[]): void {
  program
    .command(name)
    .description("Teams contend for a service; several designs in one run")
    .option("--deployment <name>", "desk or shop", "desk")
    .option("--load <name>", "flood or steady", "flood")
    .option("--designs <names>", "designs, by commas", designs.join(","))
    .option("--seed <number>", "seed of the load", "1")
    .option("--seconds <number>", "length of the load", "12")
    .option("--delay-ms <number>", "one-way delay to side processes", "0")
    .option("--json", "print JSON only")
    .action(measureDesigns);
}

function slopesTable(slopes: readonly Slope[]): string {
  const header = [
    "FIGURE",
    "PER",
    "UNIT",
    "SIZES",
    "VALUES",
    "SLOPE",
    "AT 0",
    "R2",
  ];
  const round = (value: number) => String(Number(value.toPrecision(3)));
  const rows = slopes.map(({ name, of, unit, sizes, values, fit }) => [
    ...[name, of, unit, sizes.join(" "), values.map(round).join(" ")],
    ...[fit.slope, fit.intercept, fit.r2].map(round),
  ]);
  return table([header, ...rows]);
}

function printJson(figures: object): void {
  console.log(JSON.stringify(figures, null, 2));
}

async function measureCrashReportSizes(options: {
  readonly routers: string;
  readonly controllersPerRouter: string;
  readonly relays: string;
}): Promise<void> {
  for (const text of options.routers.split(",")) {
    const routers = Number(text);
    const controllers = Math.round(
      routers * Number(options.controllersPerRouter),
    );
    const relays = Math.min(controllers, Number(options.relays));
    printJson(await measureCrashReports({ routers, controllers, relays }));
  }
}

async function measureDesigns(
  options: ContentionCommandOptions,
): Promise<void> {
  const { deployment, load } = options;
  const delayMs = Number(options.delayMs);
  const workload = createWorkload(deployment, load, { delayMs });
  const results: ContentionFigures[] = [];
  for (const design of options.designs.split(",") as Design[]) {
    const seed = Number(options.seed);
    const durationMs = Number(options.seconds) * 1_000;
    const settings = { design, durationMs, seed };
    results.push(await measureContention(workload, settings));
  }
  console.log(
    options.json ? JSON.stringify(results, null, 2) : contentionTable(results),
  );
}

function contentionTable(all: readonly ContentionFigures[]): string {
  const header = [
    ...["DESIGN", "GAP", "UTILISATION", "ANSWERED", "PER SECOND", "WRONG"],
    ...["LIGHT P95 MS", "ROUTER B/S", "SIDE B/S", "ROUTER CPU", "SIDE CPU"],
    ...["GRANTED", "NO DEMAND", "PAUSED"],
  ];
  const fixed = (value: number | null | undefined, digits: number) =>
    value === null || value === undefined ? "-" : value.toFixed(digits);
  const rows = all.map((one) => [
    one.design,
    one.gap.toFixed(1),
    fixed(one.utilisation === null ? null : one.utilisation * 100, 1),
    `${one.answered}/${one.sent}`,
    one.completedPerSecond.toFixed(1),
    String(one.wrong),
    fixed(one.lightFirstTokenP95Ms, 0),
    fixed(one.control?.router?.bytesPerSecond, 0),
    fixed(one.control?.["side-process"]?.bytesPerSecond, 0),
    fixed(one.control?.router?.cpuShare, 2),
    fixed(one.control?.["side-process"]?.cpuShare, 2),
    ...["granted", "idle", "paused"].map((state) =>
      fixed(one.control?.["side-process"]?.slotShares[state], 3),
    ),
  ]);
  return table([header, ...rows]);
}
