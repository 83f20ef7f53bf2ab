/** Evaluation of the ordered rules: the first match decides. */

import type { Rule, TimeOfDay, When } from "./document.ts";

/** What rules can see of a request. */
export interface RequestFacts {
  readonly team: string;
  readonly service: string;
  readonly kind: string;
  readonly method: string;
  readonly path: string;
  /** Header names in lower case. */
  readonly headers: Readonly<Record<string, string | undefined>>;
  readonly costHint: number;
  readonly availabilityZone: string;
  /** Minutes since midnight, UTC. */
  readonly minuteOfDay: number;
}

/** Names of the conditions. */
export type Condition = keyof When;

/** What became of one rule. */
export interface Trial {
  readonly rule: Rule;
  /** Conditions that did not hold; empty for a match. */
  readonly failed: readonly Condition[];
}

/** Returns the first rule that matches, or null. */
export function decide(
  rules: readonly Rule[],
  facts: RequestFacts,
): Rule | null {
  return rules.find(({ when }) => matches(when, facts)) ?? null;
}

/** Returns each rule up to the match with the conditions that failed. */
export function explain(rules: readonly Rule[], facts: RequestFacts): Trial[] {
  const trials: Trial[] = [];
  for (const rule of rules) {
    const failed = failedConditions(rule.when, facts);
    trials.push({ rule, failed });
    if (failed.length === 0) break;
  }
  return trials;
}

function matches(when: When, facts: RequestFacts): boolean {
  for (const condition in when) {
    if (!holds(condition as Condition, when, facts)) return false;
  }
  return true;
}

function failedConditions(when: When, facts: RequestFacts): Condition[] {
  const conditions = Object.keys(when) as Condition[];
  return conditions.filter((condition) => !holds(condition, when, facts));
}

function holds(condition: Condition, when: When, facts: RequestFacts): boolean {
  switch (condition) {
    case "team":
    case "service":
    case "kind":
    case "method":
    case "availabilityZone":
      return when[condition]?.includes(facts[condition]) ?? true;
    case "pathPrefix":
      return facts.path.startsWith(when.pathPrefix ?? "");
    case "header": {
      if (when.header === undefined) return true;
      const { name, value } = when.header;
      return facts.headers[name.toLowerCase()] === value;
    }
    case "costHintAtLeast":
      return facts.costHint >= (when.costHintAtLeast ?? 0);
    case "timeOfDay":
      return isWithin(when.timeOfDay, facts.minuteOfDay);
    default:
      return condition satisfies never;
  }
}

function isWithin(span: TimeOfDay | undefined, minute: number): boolean {
  if (span === undefined) return true;
  const from = minuteOf(span.from);
  const to = minuteOf(span.to);
  if (from <= to) return minute >= from && minute < to;
  return minute >= from || minute < to;
}

function minuteOf(text: string): number {
  return Number(text.slice(0, 2)) * 60 + Number(text.slice(3));
}
