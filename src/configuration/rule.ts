/** Evaluates the ordered rules; the first that matches applies. */

import type { Rule, RuleConditions, TimeOfDay } from "./document.ts";

/** Attributes of a request that rules can test. */
export interface RequestFacts {
  readonly team: string;
  readonly service: string;
  readonly kind: string;
  readonly method: string;
  readonly path: string;
  /** Header names in lower case. */
  readonly headers: Readonly<Record<string, string | undefined>>;
  /** Value of the header `Oriole-Cost-Hint`. */
  readonly costHint: number;
  /** Availability zone of the router. */
  readonly availabilityZone: string;
  /** Minutes since midnight, UTC. */
  readonly minuteOfDay: number;
}

/** Name of a condition. */
export type ConditionName = keyof RuleConditions;

/** Result of evaluating one rule. */
export interface RuleEvaluation {
  readonly rule: Rule;
  /** Conditions that did not hold; empty for a match. */
  readonly failed: readonly ConditionName[];
}

/** Returns the first rule that matches, or null. */
export function findMatchingRule(
  rules: readonly Rule[],
  facts: RequestFacts,
): Rule | null {
  return rules.find(({ when }) => matches(when, facts)) ?? null;
}

/** Evaluates rules up to and including the first that matches. */
export function explain(
  rules: readonly Rule[],
  facts: RequestFacts,
): RuleEvaluation[] {
  const evaluations: RuleEvaluation[] = [];
  for (const rule of rules) {
    const failed = failedConditions(rule.when, facts);
    evaluations.push({ rule, failed });
    if (failed.length === 0) break;
  }
  return evaluations;
}

function matches(when: RuleConditions, facts: RequestFacts): boolean {
  for (const condition in when) {
    if (!holds(condition as ConditionName, when, facts)) return false;
  }
  return true;
}

function failedConditions(
  when: RuleConditions,
  facts: RequestFacts,
): ConditionName[] {
  const conditions = Object.keys(when) as ConditionName[];
  return conditions.filter((condition) => !holds(condition, when, facts));
}

function holds(
  condition: ConditionName,
  when: RuleConditions,
  facts: RequestFacts,
): boolean {
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
      return isWithinTimeOfDay(when.timeOfDay, facts.minuteOfDay);
    default:
      return condition satisfies never;
  }
}

function isWithinTimeOfDay(
  span: TimeOfDay | undefined,
  minute: number,
): boolean {
  if (span === undefined) return true;
  const from = parseMinuteOfDay(span.from);
  const to = parseMinuteOfDay(span.to);
  if (from <= to) return minute >= from && minute < to;
  return minute >= from || minute < to;
}

function parseMinuteOfDay(text: string): number {
  return Number(text.slice(0, 2)) * 60 + Number(text.slice(3));
}
