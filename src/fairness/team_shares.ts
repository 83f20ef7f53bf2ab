/** Compares what one process has recently served to each team. */

import type { Clock } from "../common/clock.ts";
import { RecentUsage } from "./recent_usage.ts";

/**
 * A team with less than this share of the usage of the best-served team is
 * below its share. Half is what users call fair; the rest allows for usage that
 * varies from second to second.
 */
const FAIR_SHARE_OF_BEST = 2 / 3;

/** Recent usage of the teams that a process serves, in prompt tokens. */
export class TeamShares {
  readonly #usage: RecentUsage;

  constructor(clock: Clock) {
    this.#usage = new RecentUsage(clock);
  }

  /** Adds the cost of a request that is served. */
  add(team: string, cost: number): void {
    this.#usage.add(team, cost);
  }

  /** Whether a team has got far less than the best-served one. */
  isBelowShare(team: string): boolean {
    let best = 0;
    for (const [, usage] of this.#usage) best = Math.max(best, usage);
    return this.#usage.of(team) < best * FAIR_SHARE_OF_BEST;
  }
}
