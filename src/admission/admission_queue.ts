/** Requests that wait for admission to one engine, queued per team. */

import type { PermitRequest } from "../protocol/mod.ts";

/** A router that is told when its request may be sent. */
export interface PermitReceiver {
  /**
   * @param ask number of the request on the router's connection
   * @param uncachedTokens prompt tokens that the engine is expected to prefill
   */
  permit(ask: number, uncachedTokens: number): void;
}

/** A request that waits for a permit. */
export interface QueuedRequest {
  readonly router: PermitReceiver;
  readonly request: PermitRequest;
  /** Monotonic time by which the first token is due at the caller. */
  readonly dueAtMs: number;
}

/** Inputs for the choice of the next request. */
export interface SelectionContext {
  /** Current monotonic time. */
  readonly nowMs: number;
  /** Recent usage by a team at this engine, in prompt tokens. */
  recentUsageOf(team: string): number;
}

/**
 * Factor on the usage of a team whose requests are all past their due time. A
 * late response is worth less to its caller, so a team with on-time requests
 * goes first, but only up to this multiple of the late team's usage.
 */
const LATE_USAGE_FACTOR = 1.5;

/** One queue per team, each ordered by due time, earliest first. */
export class AdmissionQueue {
  readonly #queuesByTeam = new Map<string, QueuedRequest[]>();
  #size = 0;

  /** Number of requests over all teams. */
  get size(): number {
    return this.#size;
  }

  /** Iterates over the requests of all teams. */
  *[Symbol.iterator](): Iterator<QueuedRequest> {
    for (const queue of this.#queuesByTeam.values()) yield* queue;
  }

  /** Inserts a request into its team's queue, by due time. */
  add(added: QueuedRequest): void {
    const { team } = added.request;
    const queue = this.#queuesByTeam.get(team) ?? [];
    this.#queuesByTeam.set(team, queue);
    const index = queue.findIndex((queued) => queued.dueAtMs > added.dueAtMs);
    queue.splice(index === -1 ? queue.length : index, 0, added);
    this.#size += 1;
  }

  /** Removes a request. */
  remove(removed: QueuedRequest): void {
    this.#retain(removed.request.team, (queued) => queued !== removed);
  }

  /** Removes every request that matches. */
  removeWhere(matches: (queued: QueuedRequest) => boolean): void {
    for (const team of [...this.#queuesByTeam.keys()]) {
      this.#retain(team, (queued) => !matches(queued));
    }
  }

  /**
   * Returns the earliest due request of the team with the least recent usage,
   * or null when none waits. Within a team, requests that are past their due
   * time come after all others: serving them first would make those late too.
   * Between teams they don't: callers that are refused come back late, so a
   * team that was refused once would lose to every team that wasn't.
   */
  next({ nowMs, recentUsageOf }: SelectionContext): QueuedRequest | null {
    let next: QueuedRequest | null = null;
    let nextRank: Rank | null = null;
    for (const [team, queue] of this.#queuesByTeam) {
      const onTime = queue.find(({ dueAtMs }) => dueAtMs > nowMs);
      const candidate = onTime ?? queue[0];
      if (candidate === undefined) continue;
      const isLate = onTime === undefined;
      const usage = candidate.request.elsewhere + recentUsageOf(team);
      const weightedUsage = usage * (isLate ? LATE_USAGE_FACTOR : 1);
      const rank = { weightedUsage, isLate };
      if (nextRank !== null && !isBefore(rank, nextRank)) continue;
      next = candidate;
      nextRank = rank;
    }
    return next;
  }

  #retain(team: string, isKept: (queued: QueuedRequest) => boolean): void {
    const queue = this.#queuesByTeam.get(team) ?? [];
    const kept = queue.filter(isKept);
    this.#size -= queue.length - kept.length;
    if (kept.length === 0) this.#queuesByTeam.delete(team);
    else this.#queuesByTeam.set(team, kept);
  }
}

/** Place of a team's request among those of the other teams. */
interface Rank {
  readonly weightedUsage: number;
  readonly isLate: boolean;
}

/** Compares ranks: least usage first; at the same usage, on-time first. */
function isBefore(rank: Rank, other: Rank): boolean {
  if (rank.weightedUsage !== other.weightedUsage)
    return rank.weightedUsage < other.weightedUsage;
  return !rank.isLate && other.isLate;
}
