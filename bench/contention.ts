/** Fairness, utilisation and control traffic under contention. */

import { fairnessGap } from "../tools/load/fairness_gap.ts";
import {
  firstTokenTimes,
  percentile,
  summarise,
} from "../tools/load/summary.ts";
import { type LoadRecord, run } from "../tools/load/workload.ts";
import {
  type ControlFigures,
  controlFigures,
  controlReading,
} from "./control.ts";
import { type OccupancyChange, utilisation } from "./occupancy.ts";
import { type Design, startTarget, type Target } from "./target.ts";
import type { Workload } from "./workloads.ts";

/** Figures of one design under one workload. */
export interface ContentionFigures {
  readonly design: Design;
  readonly workload: string;
  readonly seed: number;
  /** Largest gap, in units of the largest single request's cost. */
  readonly gap: number;
  readonly gapTeams: readonly string[];
  /** Share of slot time in use while every slot could be. */
  readonly utilisation: number | null;
  readonly sent: number;
  readonly answered: number;
  readonly wrong: number;
  /** Time to first token of teams below their fair share, p95. */
  readonly lightFirstTokenP95Ms: number | null;
  readonly completedPerSecond: number;
  readonly control: ControlFigures | null;
}

/** What a measurement needs. */
export interface ContentionOptions {
  readonly design: Design;
  readonly durationMs: number;
  readonly seed: number;
}

/** Runs one workload against one design. */
export async function measureContention(
  workload: Workload,
  { design, durationMs, seed }: ContentionOptions,
): Promise<ContentionFigures> {
  const target = await startTarget(design, workload.plan);
  try {
    const before = await controlReading(target.fleet);
    const records = await run(workload.loads, {
      routerUrls: target.routerUrls,
      routerWeights: workload.routerWeights,
      ...{ durationMs, seed },
      pricing: workload.pricing,
      stream: workload.stream,
    });
    const after = await controlReading(target.fleet);
    const control = controlFigures(before, after);
    const own = { design, seed, workload: workload.name, control };
    return { ...own, ...(await figures(workload, records, target)) };
  } finally {
    await target.stop();
  }
}

async function figures(
  { plan, loads }: Workload,
  records: readonly LoadRecord[],
  target: Target,
): Promise<
  Omit<ContentionFigures, "design" | "seed" | "workload" | "control">
> {
  const occupancies = await Promise.all(target.engineUrls.map(readOccupancy));
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
    utilisation: utilisation(records, occupancies, { slots }).share,
    sent: records.length,
    answered,
    wrong: teams.reduce((sum, team) => sum + team.wrong + team.failed, 0),
    lightFirstTokenP95Ms: percentile(firstTokenTimes(light), 95),
    completedPerSecond: answered / seconds,
  };
}

/** Teams 9 to 15 of 16 ask for less than their share. */
function isLight(team: string, teams: number): boolean {
  const number = Number(team.split("-").at(-1));
  return number > teams / 2 && number < teams;
}

async function readOccupancy(url: string): Promise<OccupancyChange[]> {
  const response = await fetch(`${url}/occupancy`);
  return (await response.json()) as OccupancyChange[];
}
