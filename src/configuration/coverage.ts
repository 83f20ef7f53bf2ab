/** Finds rules that an earlier rule shadows, so that they never match. */

import type { RuleConditions } from "./document.ts";
import type { ConditionName } from "./rule.ts";

/**
 * Whether `earlier` certainly matches every request that `later` matches.
 * Conditions are compared one by one, and time spans only for equality, so
 * that some shadowed rules are not found.
 */
export function covers(
  earlier: RuleConditions,
  later: RuleConditions,
): boolean {
  const conditions = Object.keys(earlier) as ConditionName[];
  return conditions.every((condition) => isImplied(condition, earlier, later));
}

/** Whether `earlier`'s condition holds for all that `later` matches. */
function isImplied(
  condition: ConditionName,
  earlier: RuleConditions,
  later: RuleConditions,
): boolean {
  switch (condition) {
    case "team":
    case "service":
    case "kind":
    case "method":
    case "availabilityZone": {
      const allowed = earlier[condition] ?? [];
      return later[condition]?.every((item) => allowed.includes(item)) ?? false;
    }
    case "pathPrefix":
      return later.pathPrefix?.startsWith(earlier.pathPrefix ?? "") ?? false;
    case "header":
      return (
        later.header?.name.toLowerCase() ===
          earlier.header?.name.toLowerCase() &&
        later.header?.value === earlier.header?.value
      );
    case "costHintAtLeast":
      return (later.costHintAtLeast ?? 0) >= (earlier.costHintAtLeast ?? 0);
    case "timeOfDay":
      return (
        later.timeOfDay?.from === earlier.timeOfDay?.from &&
        later.timeOfDay?.to === earlier.timeOfDay?.to
      );
    default:
      return condition satisfies never;
  }
}
