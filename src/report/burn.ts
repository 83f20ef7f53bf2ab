/** Service-level burn: how fast each target's error budget is used up. */

import { Schema } from "../common/schema.ts";

/** Why a request missed its target. */
export type Cause = "waiting" | "engine" | "retry" | "refused";

/** Every cause, in the order in which reports show them. */
export const CAUSES: readonly Cause[] = [
  "waiting",
  "engine",
  "retry",
  "refused",
];

/** Counts of one target and team at one router. */
export interface BurnCounts {
  readonly service: string;
  readonly team: string;
  readonly measure: string;
  readonly limitMs: number;
  readonly objective: number;
  readonly shortGood: number;
  readonly shortBad: number;
  readonly longGood: number;
  readonly longBad: number;
  readonly causes: Readonly<Record<Cause, number>>;
}

/** One line of the report. */
export interface BurnLine extends BurnCounts {
  /** Speed of use over the short window; 1 uses the budget up exactly. */
  readonly shortBurn: number;
  readonly longBurn: number;
  /** Share of the long window's budget that is left; may be negative. */
  readonly budgetLeft: number;
}

const amount = { type: "number" };
const text = { type: "string" };

/** Schema of what a router answers. */
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

/** Adds up the counts of all routers; the worst line comes first. */
export function burnLines(counts: readonly BurnCounts[]): BurnLine[] {
  const sums = new Map<string, BurnCounts>();
  for (const one of counts) {
    const key = `${one.service}\n${one.team}\n${one.measure}`;
    const known = sums.get(key);
    sums.set(key, known === undefined ? one : add(known, one));
  }
  return [...sums.values()].map(toLine).sort(worstFirst);
}

function add(a: BurnCounts, b: BurnCounts): BurnCounts {
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
  const shortBurn = burn(shortGood, shortBad, objective);
  const longBurn = burn(longGood, longBad, objective);
  return { ...counts, shortBurn, longBurn, budgetLeft: 1 - longBurn };
}

function burn(good: number, bad: number, objective: number): number {
  if (bad === 0) return 0;
  return bad / (good + bad) / (1 - objective);
}

function worstFirst(a: BurnLine, b: BurnLine): number {
  return b.longBurn - a.longBurn || b.shortBurn - a.shortBurn;
}
