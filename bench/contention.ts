/** Measures fairness, utilisation and control traffic under contention. */

import { fairnessGap } from "../tools/load/fairness_gap.ts";
import {
  firstTokenTimes,
  percentile,
  summarise,
} from "../tools/load/summary.ts";
import { type LoadRecord, runOpenLoop } from "../tools/load/workload.ts";
import {
  type ControlFigures,
  computeControlFigures,
  readFleet,
} from "./control.ts";
import {
  type Design,
  type SystemUnderTest,
  startSystemUnderTest,
} from "./system_under_test.ts";
import { computeUtilisation, type OccupancyChange } from "./utilisation.ts";
import type { Workload } from "./workloads.ts";

/** Figures of one design under one workload. */
export interface ContentionFigures {
  readonly design: Design;
  readonly workload: string;
  readonly seed: number;
  /**
   * Largest difference of normalised service between two waiting teams, in
   * units of the largest single request's cost.
   */
  readonly gap: number;
  /** The two teams of `gap`; empty if there was none. */
  readonly gapTeams: readonly string[];
  /**
   * Share of slot time in use, from 0 to 1, while more requests were
   * outstanding than there are slots; null if there was no such time.
   */
  readonly utilisation: number | null;
  readonly sent: number;
  readonly answered: number;
  /** Failed calls and calls with a wrong or incomplete answer. */
  readonly wrong: number;
  /** p95 time to first token of teams that ask for less than their share. */
  readonly lightFirstTokenP95Ms: number | null;
  readonly completedPerSecond: number;
  /** Null for a baseline. */
  readonly control: ControlFigures | null;
}

/** The design to measure, and length and seed of the load. */
export interface ContentionOptions {
  readonly design: Design;
  readonly durationMs: number;
  readonly seed: number;
}

/** Runs one workload against one design; starts and stops its processes. */
export async function measureContention(
  workload: Workload,
  { design, durationMs, seed }: ContentionOptions,
): Promise<ContentionFigures> {
  const system = await startSystemUnderTest(design, workload.plan);
  try {
    const before = await readFleet(system.fleet);
    const records = await runOpenLoop(workload.loads, {
      routerUrls: system.routerUrls,
      routerWeights: workload.routerWeights,
      ...{ durationMs, seed },
      pricing: workload.pricing,
      stream: workload.stream,
    });
    const after = await readFleet(system.fleet);
    const control = computeControlFigures(before, after);
    const own = { design, seed, workload: workload.name, control };
    return { ...own, ...(await computeFigures(workload, records, system)) };
  } finally {
    await system.stop();
  }
}

async function computeFigures(
  { plan, loads }: Workload,
  records: readonly LoadRecord[],
  system: SystemUnderTest,
): Promise<
  Omit<ContentionFigures, "design" | "seed" | "workload" | "control">
> {
  const occupancies = await Promise.all(system.engineUrls.map(readOccupancy));
  const [service] = plan.services;
  const slots = (service?.slots ?? 0) * (service?.replicas ?? 0);
  const gap = fairnessGap(records);
  const teams = summarise(records);
  const light = records.filter(({ load }) => isLight(load.team, loads.length));
  const ends = records.map(({ result }) => result.endedMs);
  const starts = records.map(({ result }) => result.startedMs);
  const seconds = (Math.max(...ends) - Math.min(...starts)) / 1_000;
  const answered = teams.reduce((sum, team) => sum + team.answered, 0);
  return {
    gap: gap.inLargestRequests,
    gapTeams: gap.teams,
    utilisation: computeUtilisation(records, occupancies, { slots }).share,
    sent: records.length,
    answered,
    wrong: teams.reduce((sum, team) => sum + team.wrong + team.failed, 0),
    lightFirstTokenP95Ms: percentile(firstTokenTimes(light), 95),
    completedPerSecond: answered / seconds,
  };
}

/** Teams 9 to 15 of 16 ask for less than their share; see `createLoads`. */
function isLight(team: string, teams: number): boolean {
  const number = Number(team.split("-").at(-1));
  return number > teams / 2 && number < teams;
}

async function readOccupancy(url: string): Promise<OccupancyChange[]> {
  const response = await fetch(`${url}/occupancy`);
  return (await response.json()) as OccupancyChange[];
}
