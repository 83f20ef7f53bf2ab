/**
 * Measures the fairness gap from callers' records: the largest difference in
 * normalised service between two teams over any period in which both wait.
 */

import type { LoadRecord } from "./workload.ts";

const BIN_MS = 50;
/** A request counts as waiting after so long without a first token. */
const WAITS_AFTER_MS = 100;

interface TeamSeries {
  readonly team: string;
  /** Cumulative normalised service at the end of each bin. */
  readonly service: Float64Array;
  /** 1 for each bin in which the team has a waiting request. */
  readonly waiting: Uint8Array;
}

/** The largest gap and the two teams between which it was found. */
export interface FairnessGap {
  /** In normalised service: cost divided by the team's weight. */
  readonly amount: number;
  readonly teams: readonly string[];
  /** The gap divided by the largest normalised cost of one request. */
  readonly inLargestRequests: number;
}

/** Returns the largest gap over all pairs of teams. */
export function fairnessGap(records: readonly LoadRecord[]): FairnessGap {
  const largest = Math.max(0, ...records.map(normalisedCost));
  const series = toSeries(records);
  let amount = 0;
  let teams: string[] = [];
  for (const [index, a] of series.entries()) {
    for (const b of series.slice(index + 1)) {
      const gap = largestGap(a, b);
      if (gap <= amount) continue;
      amount = gap;
      teams = [a.team, b.team];
    }
  }
  const inLargestRequests = largest === 0 ? 0 : amount / largest;
  return { amount, teams, inLargestRequests };
}

function normalisedCost({ cost, load }: LoadRecord): number {
  return cost / load.weight;
}

function toSeries(records: readonly LoadRecord[]): TeamSeries[] {
  const startMs = Math.min(...records.map(({ result }) => result.startedMs));
  const endMs = Math.max(...records.map(({ result }) => result.endedMs));
  const bins = Math.ceil((endMs - startMs) / BIN_MS) + 1;
  const teams = [...new Set(records.map(({ load }) => load.team))];
  return teams.map((team) => {
    const service = new Float64Array(bins);
    const waiting = new Uint8Array(bins);
    for (const record of records) {
      if (record.load.team !== team) continue;
      addService(service, record, startMs);
      addWaiting(waiting, record, startMs);
    }
    for (let bin = 1; bin < bins; bin += 1) {
      service[bin] = (service[bin] ?? 0) + (service[bin - 1] ?? 0);
    }
    return { team, service, waiting };
  });
}

function addService(
  service: Float64Array,
  record: LoadRecord,
  startMs: number,
): void {
  for (const { atMs, amount } of record.service) {
    const bin = Math.floor((atMs - startMs) / BIN_MS);
    service[bin] = (service[bin] ?? 0) + amount;
  }
}

function addWaiting(
  waiting: Uint8Array,
  { result }: LoadRecord,
  startMs: number,
): void {
  if (result.type !== "answered") return;
  const fromMs = result.startedMs + WAITS_AFTER_MS - startMs;
  const toMs = (result.firstTokenMs ?? result.endedMs) - startMs;
  const first = Math.ceil(fromMs / BIN_MS);
  for (let bin = first; bin * BIN_MS < toMs; bin += 1) waiting[bin] = 1;
}

/** Returns the largest change of the difference while both teams wait. */
function largestGap(a: TeamSeries, b: TeamSeries): number {
  let gap = 0;
  let low = Number.POSITIVE_INFINITY;
  let high = Number.NEGATIVE_INFINITY;
  for (let bin = 0; bin < a.service.length; bin += 1) {
    if (a.waiting[bin] !== 1 || b.waiting[bin] !== 1) {
      low = Number.POSITIVE_INFINITY;
      high = Number.NEGATIVE_INFINITY;
      continue;
    }
    const difference = (a.service[bin] ?? 0) - (b.service[bin] ?? 0);
    low = Math.min(low, difference);
    high = Math.max(high, difference);
    gap = Math.max(gap, high - low);
  }
  return gap;
}
