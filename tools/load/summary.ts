/** Summarises the records of a load for each team. */

import type { LoadRecord } from "./workload.ts";

/** Counts of a team's results, and its latencies and service. */
export interface TeamSummary {
  readonly team: string;
  readonly sent: number;
  readonly answered: number;
  readonly refused: number;
  readonly failed: number;
  readonly wrong: number;
  readonly firstTokenP50Ms: number | null;
  readonly firstTokenP95Ms: number | null;
  readonly normalisedService: number;
}

/** Returns a summary for each team, sorted by name. */
export function summarise(records: readonly LoadRecord[]): TeamSummary[] {
  const teams = [...new Set(records.map(({ load }) => load.team))].sort();
  return teams.map((team) => {
    const own = records.filter(({ load }) => load.team === team);
    const count = (type: string) =>
      own.filter(({ result }) => result.type === type).length;
    const firstTokens = firstTokenTimes(own);
    return {
      team,
      sent: own.length,
      answered: count("answered"),
      refused: count("refused"),
      failed: count("failed"),
      wrong: count("wrong"),
      firstTokenP50Ms: percentile(firstTokens, 50),
      firstTokenP95Ms: percentile(firstTokens, 95),
      normalisedService: own
        .flatMap(({ service }) => service)
        .reduce((sum, { amount }) => sum + amount, 0),
    };
  });
}

/** Returns the times to first token of answered requests, in ms. */
export function firstTokenTimes(records: readonly LoadRecord[]): number[] {
  return records.flatMap(({ result }) =>
    result.type === "answered" && result.firstTokenMs !== null
      ? [result.firstTokenMs - result.startedMs]
      : [],
  );
}

/** Returns the nearest-rank percentile; null if there are no values. */
export function percentile(
  values: readonly number[],
  percent: number,
): number | null {
  const sorted = [...values].sort((a, b) => a - b);
  const rank = Math.ceil((percent / 100) * sorted.length) - 1;
  return sorted[Math.max(0, rank)] ?? null;
}
