/** Waits until the processes of a fleet have a configuration version. */

import type { Deadline } from "../common/deadline.ts";
import { sleep } from "../common/promises.ts";
import { gatherPages } from "../report/mod.ts";
import type { FleetOptions } from "./fleet_options.ts";

const CHECK_INTERVAL_MS = 200;

/** How many processes have a version. */
export interface RolloutProgress {
  /** Processes with this version or a later one. */
  readonly having: number;
  /** Listed processes, those without an answer included. */
  readonly total: number;
}

/** Polls until all listed processes have the version, or the deadline. */
export async function waitForVersion(
  options: FleetOptions,
  version: number,
  deadline: Deadline,
): Promise<RolloutProgress> {
  for (;;) {
    const progress = await readProgress(options, version);
    const complete = progress.having === progress.total && progress.total > 0;
    if (complete || deadline.expired) return progress;
    await sleep(CHECK_INTERVAL_MS);
  }
}

async function readProgress(
  { platform: platformUrl, operatorKey }: FleetOptions,
  version: number,
): Promise<RolloutProgress> {
  const access = { platformUrl, operatorKey };
  const pages = await gatherPages(access, "/status", { filter: () => true });
  if (pages.isErr()) return { having: 0, total: 0 };
  const having = pages.value.filter(({ page }) => {
    const status = (page as { configurationVersion?: number } | null) ?? {};
    return (status.configurationVersion ?? 0) >= version;
  });
  return { having: having.length, total: pages.value.length };
}
