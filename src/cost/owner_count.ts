/** Decides how many engines keep one part of a prompt in their caches. */

import type { BusyPart } from "./part_demand.ts";

/**
 * Engines that keep a part that is in little demand. The second takes what the
 * first has no capacity for; more copies would evict other parts.
 */
const MIN_OWNERS = 2;
/**
 * Share of an engine that requests with one part may take before another engine
 * keeps the part, too. Engines also serve the requests of other parts.
 */
const MAX_SHARE_PER_OWNER = 0.4;

/** What is known of the demand at one engine; null without a report. */
export interface EngineDemand {
  /** Absent if no part takes much of the engine. */
  readonly busyParts?: readonly BusyPart[];
}

/** Returns the number of engines that should keep a part. */
export function ownerCount(
  part: string,
  engines: Iterable<EngineDemand | null>,
): number {
  let share = 0;
  for (const engine of engines) {
    for (const [id, engineShare] of engine?.busyParts ?? [])
      if (id === part) share += engineShare;
  }
  return Math.max(MIN_OWNERS, Math.ceil(share / MAX_SHARE_PER_OWNER));
}
