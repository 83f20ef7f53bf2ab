/** Fetches the burn report from the routers of a fleet. */

import type { Result } from "neverthrow";
import { type BurnLine, burnCountsSchema, burnLines } from "./burn.ts";
import { type FleetAccess, gatherPages } from "./gather.ts";

/** The burn report of a fleet. */
export interface BurnReport {
  readonly lines: readonly BurnLine[];
  /** Names of routers that did not answer; the lines lack their counts. */
  readonly unansweredRouters: readonly string[];
}

/**
 * Fetches the counts of every listed router. Returns an error text if the
 * instance list can't be read.
 */
export async function gatherBurn(
  access: FleetAccess,
): Promise<Result<BurnReport, string>> {
  const fetched = await gatherPages(access, "/burn", {
    filter: ({ role }) => role === "router",
  });
  return fetched.map((pages) => {
    const unansweredRouters: string[] = [];
    const counts = pages.flatMap(({ instance, page }) => {
      const checked = burnCountsSchema.check(page);
      if (checked.isOk()) return checked.value.counts;
      unansweredRouters.push(instance.name);
      return [];
    });
    return { lines: burnLines(counts), unansweredRouters };
  });
}
