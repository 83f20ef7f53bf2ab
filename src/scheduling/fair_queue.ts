/** Queue of one service's requests; teams are served in fair order. */

import type * as fairness from "../fairness/mod.ts";
import { costOf, type Demand } from "./demand.ts";

/** A queued request. */
export interface QueueEntry {
  readonly demand: Demand;
}

/** Queued requests by team; the team with the least recent usage is first. */
export class FairQueue<T extends QueueEntry> {
  readonly #recentUsage: fairness.RecentUsage;
  readonly #byTeam = new Map<string, T[]>();
  #size = 0;

  constructor(recentUsage: fairness.RecentUsage) {
    this.#recentUsage = recentUsage;
  }

  /** Number of queued requests. */
  get size(): number {
    return this.#size;
  }

  /** Recent usage by a team through this queue, in prompt tokens. */
  usageOf(team: string): number {
    return this.#recentUsage.of(team);
  }

  /** Adds a request to its team's queue, by priority, then by objective. */
  add(entry: T): void {
    const { team } = entry.demand;
    const queue = this.#byTeam.get(team) ?? [];
    this.#byTeam.set(team, queue);
    const index = queue.findIndex((other) => precedes(entry, other));
    queue.splice(index === -1 ? queue.length : index, 0, entry);
    this.#size += 1;
  }

  /** Removes a request; returns whether it was queued. */
  remove(entry: T): boolean {
    const { team } = entry.demand;
    const queue = this.#byTeam.get(team);
    const index = queue?.indexOf(entry) ?? -1;
    if (queue === undefined || index === -1) return false;
    queue.splice(index, 1);
    this.#size -= 1;
    if (queue.length === 0) this.#byTeam.delete(team);
    return true;
  }

  /**
   * Offers the requests to `place`, and removes those for which it returns
   * true. Each removal adds to the usage of a team, so the order of teams is
   * computed anew after it.
   */
  dispatch(place: (entry: T) => boolean): void {
    while (this.#dispatchOne(place)) {}
  }

  #dispatchOne(place: (entry: T) => boolean): boolean {
    const teams = [...this.#byTeam.keys()].sort(
      (a, b) => this.#recentUsage.of(a) - this.#recentUsage.of(b),
    );
    for (const team of teams) {
      for (const entry of this.#byTeam.get(team) ?? []) {
        if (!place(entry)) continue;
        this.#recentUsage.add(team, costOf(entry.demand));
        this.remove(entry);
        return true;
      }
    }
    return false;
  }
}

function precedes(
  { demand: a }: QueueEntry,
  { demand: b }: QueueEntry,
): boolean {
  if (a.priority !== b.priority) return a.priority < b.priority;
  return a.objectiveAtMs < b.objectiveAtMs;
}
