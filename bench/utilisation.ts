/** Utilisation of the engines' slots while there was work for every slot. */

import type { LoadRecord } from "../tools/load/workload.ts";

/** An engine's number of running requests from `atMs` on (Unix time). */
export type OccupancyChange = readonly [atMs: number, running: number];

/** A change in the number of outstanding or running requests. */
interface LoadChange {
  readonly atMs: number;
  readonly outstandingDelta: number;
  readonly runningDelta: number;
}

/** Slot use while more requests were outstanding than there are slots. */
export interface Utilisation {
  /** Share of that slot time in use, from 0 to 1; null if there was none. */
  readonly share: number | null;
  /** How long more requests were outstanding than there are slots. */
  readonly contendedMs: number;
}

/** Returns the utilisation of all engines of a service, `slots` in total. */
export function computeUtilisation(
  records: readonly LoadRecord[],
  occupancies: readonly (readonly OccupancyChange[])[],
  { slots }: { readonly slots: number },
): Utilisation {
  const loadChanges = toLoadChanges(records, occupancies);
  let outstanding = 0;
  let running = 0;
  let contendedMs = 0;
  let usedMs = 0;
  for (const [index, change] of loadChanges.entries()) {
    outstanding += change.outstandingDelta;
    running += change.runningDelta;
    const durationMs =
      (loadChanges[index + 1]?.atMs ?? change.atMs) - change.atMs;
    if (outstanding <= slots) continue;
    contendedMs += durationMs;
    usedMs += running * durationMs;
  }
  const share = contendedMs === 0 ? null : usedMs / (contendedMs * slots);
  return { share, contendedMs };
}

/**
 * Returns all changes in order of time. Only requests that were answered count
 * as outstanding.
 */
function toLoadChanges(
  records: readonly LoadRecord[],
  occupancies: readonly (readonly OccupancyChange[])[],
): LoadChange[] {
  const loadChanges: LoadChange[] = [];
  for (const { result, load } of records) {
    if (load.type !== "model" || result.type !== "answered") continue;
    const origin = performance.timeOrigin;
    loadChanges.push({
      atMs: origin + result.startedMs,
      outstandingDelta: 1,
      runningDelta: 0,
    });
    loadChanges.push({
      atMs: origin + result.endedMs,
      outstandingDelta: -1,
      runningDelta: 0,
    });
  }
  for (const changes of occupancies) {
    let before = 0;
    for (const [atMs, running] of changes) {
      loadChanges.push({
        atMs,
        outstandingDelta: 0,
        runningDelta: running - before,
      });
      before = running;
    }
  }
  return loadChanges.sort((a, b) => a.atMs - b.atMs);
}
