/** Counts at a router which requests met their service-level targets. */

import type { Clock } from "../common/clock.ts";
import type { ActiveConfiguration, Target } from "../configuration/mod.ts";
import { type BurnCounts, CAUSES, type Cause } from "./burn.ts";
import { SlidingWindow } from "./sliding_window.ts";

const SHORT_WINDOW_MS = 5 * 60_000;
const LONG_WINDOW_MS = 60 * 60_000;
const SHORT_BUCKETS = 10;
const LONG_BUCKETS = 12;

/** Timings of a request as its caller saw them. */
export interface RequestMeasurement {
  readonly service: string;
  readonly team: string;
  /** Null for a request without an answer, which misses the target. */
  readonly firstTokenMs: number | null;
  /** Null if there was nothing to measure, which doesn't count. */
  readonly betweenTokensMs: number | null;
  /** Null for a request without an answer, which misses the target. */
  readonly completionMs: number | null;
  /** Cause to which a missed target is attributed. */
  readonly cause: Cause;
}

interface TargetRecord {
  readonly target: Target;
  readonly team: string;
  readonly short: SlidingWindow;
  readonly long: SlidingWindow;
  readonly causes: Record<Cause, number>;
  lastRequestMs: number;
}

/** Counts per target and team; those of idle teams are dropped. */
export class BurnRecorder {
  readonly #clock: Clock;
  readonly #configuration: ActiveConfiguration;
  readonly #records = new Map<string, TargetRecord>();

  constructor(clock: Clock, configuration: ActiveConfiguration) {
    this.#clock = clock;
    this.#configuration = configuration;
  }

  /** Records a finished request under all targets that apply to it. */
  record(measurement: RequestMeasurement): void {
    const nowMs = this.#clock.wallMs();
    for (const target of this.#configuration.targets) {
      if (!appliesTo(target, measurement)) continue;
      const measuredMs = measuredDuration(target, measurement);
      if (measuredMs === "not-measured") continue;
      const record = this.#getOrCreateRecord(target, measurement.team);
      const withinLimit = measuredMs !== null && measuredMs <= target.limitMs;
      record.short.record(withinLimit, nowMs);
      record.long.record(withinLimit, nowMs);
      record.lastRequestMs = nowMs;
      if (!withinLimit) record.causes[measurement.cause] += 1;
    }
  }

  /** Returns the counts of targets and teams with requests in the last hour. */
  counts(): BurnCounts[] {
    const nowMs = this.#clock.wallMs();
    const counts: BurnCounts[] = [];
    for (const [key, record] of this.#records) {
      if (nowMs - record.lastRequestMs > LONG_WINDOW_MS)
        this.#records.delete(key);
      else counts.push(toCounts(record, nowMs));
    }
    return counts;
  }

  #getOrCreateRecord(target: Target, team: string): TargetRecord {
    const { service, measure, limitMs, objective } = target;
    const key = [service, measure, team, limitMs, objective].join("\n");
    const existing = this.#records.get(key);
    if (existing !== undefined) return existing;
    const record: TargetRecord = {
      target,
      team,
      short: new SlidingWindow(SHORT_WINDOW_MS, { buckets: SHORT_BUCKETS }),
      long: new SlidingWindow(LONG_WINDOW_MS, { buckets: LONG_BUCKETS }),
      causes: { waiting: 0, engine: 0, retry: 0, refused: 0 },
      lastRequestMs: 0,
    };
    this.#records.set(key, record);
    return record;
  }
}

function appliesTo(
  target: Target,
  { service, team }: RequestMeasurement,
): boolean {
  if (target.service !== service) return false;
  return target.team === undefined || target.team === team;
}

function measuredDuration(
  { measure }: Target,
  measurement: RequestMeasurement,
): number | null | "not-measured" {
  switch (measure) {
    case "first-token":
      return measurement.firstTokenMs;
    case "between-tokens":
      return measurement.betweenTokensMs ?? "not-measured";
    case "completion":
      return measurement.completionMs;
    default:
      return measure satisfies never;
  }
}

function toCounts(record: TargetRecord, nowMs: number): BurnCounts {
  const { service, measure, limitMs, objective } = record.target;
  const short = record.short.totals(nowMs);
  const long = record.long.totals(nowMs);
  return {
    ...{ service, measure, limitMs, objective, team: record.team },
    shortGood: short.good,
    shortBad: short.bad,
    longGood: long.good,
    longBad: long.bad,
    causes: Object.fromEntries(
      CAUSES.map((cause) => [cause, record.causes[cause]]),
    ) as Record<Cause, number>,
  };
}
