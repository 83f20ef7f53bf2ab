/** Burn rates: how fast each service-level target uses its error budget. */

import { Schema } from "../common/schema.ts";

/** Cause to which a missed target is attributed. */
export type Cause = "waiting" | "engine" | "retry" | "refused";

/** All causes, in the order in which reports show them. */
export const CAUSES: readonly Cause[] = [
  "waiting",
  "engine",
  "retry",
  "refused",
];

/** Requests of one team under one target at one router. */
export interface BurnCounts {
  readonly service: string;
  readonly team: string;
  readonly measure: string;
  readonly limitMs: number;
  /** Fraction of requests that must stay within the limit. */
  readonly objective: number;
  /** Short window: the last 5 minutes. Long window: the last hour. */
  readonly shortGood: number;
  readonly shortBad: number;
  readonly longGood: number;
  readonly longBad: number;
  /**
   * Missed requests by cause. They are not limited to a window, but counted
   * until a router sees no request of the team for an hour.
   */
  readonly causes: Readonly<Record<Cause, number>>;
}

/** One target and team in the report, summed over all routers. */
export interface BurnLine extends BurnCounts {
  /**
   * Burn rate over the short window: share of missed requests divided by the
   * share that the objective allows. 1 uses up the error budget exactly.
   */
  readonly shortBurn: number;
  /** Burn rate over the long window. */
  readonly longBurn: number;
  /** Fraction of the long window's error budget left; may be negative. */
  readonly budgetLeft: number;
}

const amount = { type: "number" };
const text = { type: "string" };

/** Schema of a router's answer at `/burn`. */
export const burnCountsSchema = new Schema<{ counts: BurnCounts[] }>({
  type: "object",
  required: ["counts"],
  properties: {
    counts: {
      type: "array",
      items: {
        type: "object",
        required: ["service", "team", "measure", "objective", "causes"],
        properties: {
          service: text,
          team: text,
          measure: text,
          limitMs: amount,
          objective: amount,
          shortGood: amount,
          shortBad: amount,
          longGood: amount,
          longBad: amount,
          causes: { type: "object", additionalProperties: amount },
        },
      },
    },
  },
});

/** Sums the counts of all routers; the highest burn rate comes first. */
export function burnLines(counts: readonly BurnCounts[]): BurnLine[] {
  const sums = new Map<string, BurnCounts>();
  for (const one of counts) {
    const key = `${one.service}\n${one.team}\n${one.measure}`;
    const known = sums.get(key);
    sums.set(key, known === undefined ? one : sumCounts(known, one));
  }
  return [...sums.values()].map(toLine).sort(worstFirst);
}

function sumCounts(a: BurnCounts, b: BurnCounts): BurnCounts {
  const causes = Object.fromEntries(
    CAUSES.map((cause) => [cause, a.causes[cause] + b.causes[cause]]),
  ) as Record<Cause, number>;
  return {
    ...a,
    shortGood: a.shortGood + b.shortGood,
    shortBad: a.shortBad + b.shortBad,
    longGood: a.longGood + b.longGood,
    longBad: a.longBad + b.longBad,
    causes,
  };
}

function toLine(counts: BurnCounts): BurnLine {
  const { shortGood, shortBad, longGood, longBad, objective } = counts;
  const shortBurn = burnRate(shortGood, shortBad, objective);
  const longBurn = burnRate(longGood, longBad, objective);
  return { ...counts, shortBurn, longBurn, budgetLeft: 1 - longBurn };
}

function burnRate(good: number, bad: number, objective: number): number {
  if (bad === 0) return 0;
  return bad / (good + bad) / (1 - objective);
}

function worstFirst(a: BurnLine, b: BurnLine): number {
  return b.longBurn - a.longBurn || b.shortBurn - a.shortBurn;
}
