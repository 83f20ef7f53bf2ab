/** How engines' slots were used while work was there for all of them. */

import type { LoadRecord } from "../tools/load/workload.ts";

/** A change of the number of running requests of an engine. */
export type OccupancyChange = readonly [atMs: number, running: number];

interface Step {
  readonly atMs: number;
  readonly outstanding: number;
  readonly running: number;
}

/** Slot time while at least as many requests were there as slots. */
export interface Utilisation {
  /** Share of that slot time in use, from 0 to 1; null if there was none. */
  readonly share: number | null;
  readonly contendedMs: number;
}

/** Returns the utilisation over all engines of a service. */
export function utilisation(
  records: readonly LoadRecord[],
  occupancies: readonly (readonly OccupancyChange[])[],
  { slots }: { readonly slots: number },
): Utilisation {
  const steps = toSteps(records, occupancies);
  let outstanding = 0;
  let running = 0;
  let contendedMs = 0;
  let usedMs = 0;
  for (const [index, step] of steps.entries()) {
    outstanding += step.outstanding;
    running += step.running;
    const lastsMs = (steps[index + 1]?.atMs ?? step.atMs) - step.atMs;
    if (outstanding <= slots) continue;
    contendedMs += lastsMs;
    usedMs += running * lastsMs;
  }
  const share = contendedMs === 0 ? null : usedMs / (contendedMs * slots);
  return { share, contendedMs };
}

/** Changes of outstanding and of running requests, in order of time. */
function toSteps(
  records: readonly LoadRecord[],
  occupancies: readonly (readonly OccupancyChange[])[],
): Step[] {
  const steps: Step[] = [];
  for (const { result, load } of records) {
    if (load.type !== "model" || result.type !== "answered") continue;
    const origin = performance.timeOrigin;
    steps.push({ atMs: origin + result.startedMs, outstanding: 1, running: 0 });
    steps.push({ atMs: origin + result.endedMs, outstanding: -1, running: 0 });
  }
  for (const changes of occupancies) {
    let before = 0;
    for (const [atMs, running] of changes) {
      steps.push({ atMs, outstanding: 0, running: running - before });
      before = running;
    }
  }
  return steps.sort((a, b) => a.atMs - b.atMs);
}
