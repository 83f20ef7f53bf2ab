/** Gathers the burn report from the routers of a fleet. */

import type { Result } from "neverthrow";
import { type BurnLine, burnCountsSchema, burnLines } from "./burn.ts";
import { type FleetAccess, gather } from "./gather.ts";

/** The report, and who is missing in it. */
export interface GatheredBurn {
  readonly lines: readonly BurnLine[];
  /** Names of routers that did not answer. */
  readonly silent: readonly string[];
}

/** Asks every listed router; the worst line comes first. */
export async function gatherBurn(
  access: FleetAccess,
): Promise<Result<GatheredBurn, string>> {
  const gathered = await gather(access, "/burn", {
    wanted: ({ role }) => role === "router",
  });
  return gathered.map((pages) => {
    const silent: string[] = [];
    const counts = pages.flatMap(({ instance, page }) => {
      const checked = burnCountsSchema.check(page);
      if (checked.isOk()) return checked.value.counts;
      silent.push(instance.name);
      return [];
    });
    return { lines: burnLines(counts), silent };
  });
}
