/** Counts the processes at which a configuration version is in force. */

import type { Deadline } from "../common/deadline.ts";
import { sleep } from "../common/signal.ts";
import { gather } from "../report/mod.ts";
import type { FleetOptions } from "./fleet_options.ts";

const CHECK_MS = 200;

/** How far a version has spread. */
export interface Spread {
  readonly having: number;
  readonly total: number;
}

/** Waits until every listed process has a version, or the deadline. */
export async function wait(
  options: FleetOptions,
  version: number,
  deadline: Deadline,
): Promise<Spread> {
  for (;;) {
    const spread = await count(options, version);
    const everywhere = spread.having === spread.total && spread.total > 0;
    if (everywhere || deadline.expired) return spread;
    await sleep(CHECK_MS);
  }
}

async function count(
  { platform: platformUrl, operatorKey }: FleetOptions,
  version: number,
): Promise<Spread> {
  const access = { platformUrl, operatorKey };
  const gathered = await gather(access, "/status", { wanted: () => true });
  if (gathered.isErr()) return { having: 0, total: 0 };
  const having = gathered.value.filter(({ page }) => {
    const known = (page as { configurationVersion?: number } | null) ?? {};
    return (known.configurationVersion ?? 0) >= version;
  });
  return { having: having.length, total: gathered.value.length };
}
