/** Tells whether one rule's conditions leave nothing to a later rule. */

import type { When } from "./document.ts";
import type { Condition } from "./rule.ts";

/** Whether each request that `later` matches is matched by `earlier`. */
export function covers(earlier: When, later: When): boolean {
  const conditions = Object.keys(earlier) as Condition[];
  return conditions.every((condition) => isImplied(condition, earlier, later));
}

function isImplied(condition: Condition, earlier: When, later: When): boolean {
  switch (condition) {
    case "team":
    case "service":
    case "kind":
    case "method":
    case "availabilityZone": {
      const wide = earlier[condition] ?? [];
      return later[condition]?.every((one) => wide.includes(one)) ?? false;
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
