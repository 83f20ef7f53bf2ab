/** Records at a router how requests kept their targets. */

import type { Clock } from "../common/clock.ts";
import type { ActiveConfiguration, Target } from "../configuration/mod.ts";
import { type BurnCounts, CAUSES, type Cause } from "./burn.ts";
import { Window } from "./window.ts";

const SHORT_WINDOW_MS = 5 * 60_000;
const LONG_WINDOW_MS = 60 * 60_000;
const SHORT_BUCKETS = 10;
const LONG_BUCKETS = 12;

/** What a request took, as its caller saw it. */
export interface Experience {
  readonly service: string;
  readonly team: string;
  /** Null for a request that got no answer. */
  readonly firstTokenMs: number | null;
  readonly betweenTokensMs: number | null;
  readonly completionMs: number | null;
  /** Cause that a missed target is put down to. */
  readonly cause: Cause;
}

interface TargetRecord {
  readonly target: Target;
  readonly team: string;
  readonly short: Window;
  readonly long: Window;
  readonly causes: Record<Cause, number>;
  lastMs: number;
}

/** Counts per target and team; teams that are idle cost nothing. */
export class BurnRecorder {
  readonly #clock: Clock;
  readonly #active: ActiveConfiguration;
  readonly #records = new Map<string, TargetRecord>();

  constructor(clock: Clock, active: ActiveConfiguration) {
    this.#clock = clock;
    this.#active = active;
  }

  /** Records a request that has ended. */
  record(experience: Experience): void {
    const nowMs = this.#clock.wallMs();
    for (const target of this.#active.targets) {
      if (!applies(target, experience)) continue;
      const took = measured(target, experience);
      if (took === "not-measured") continue;
      const record = this.#recordOf(target, experience.team);
      const kept = took !== null && took <= target.limitMs;
      record.short.record(kept, nowMs);
      record.long.record(kept, nowMs);
      record.lastMs = nowMs;
      if (!kept) record.causes[experience.cause] += 1;
    }
  }

  /** Returns the counts of every target and team with recent requests. */
  counts(): BurnCounts[] {
    const nowMs = this.#clock.wallMs();
    const counts: BurnCounts[] = [];
    for (const [key, record] of this.#records) {
      if (nowMs - record.lastMs > LONG_WINDOW_MS) this.#records.delete(key);
      else counts.push(toCounts(record, nowMs));
    }
    return counts;
  }

  #recordOf(target: Target, team: string): TargetRecord {
    const { service, measure, limitMs, objective } = target;
    const key = [service, measure, team, limitMs, objective].join("\n");
    const known = this.#records.get(key);
    if (known !== undefined) return known;
    const record: TargetRecord = {
      target,
      team,
      short: new Window(SHORT_WINDOW_MS, { buckets: SHORT_BUCKETS }),
      long: new Window(LONG_WINDOW_MS, { buckets: LONG_BUCKETS }),
      causes: { waiting: 0, engine: 0, retry: 0, refused: 0 },
      lastMs: 0,
    };
    this.#records.set(key, record);
    return record;
  }
}

function applies(target: Target, { service, team }: Experience): boolean {
  if (target.service !== service) return false;
  return target.team === undefined || target.team === team;
}

function measured(
  { measure }: Target,
  experience: Experience,
): number | null | "not-measured" {
  switch (measure) {
    case "first-token":
      return experience.firstTokenMs;
    case "between-tokens":
      return experience.betweenTokensMs ?? "not-measured";
    case "completion":
      return experience.completionMs;
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
