/** Asks that wait at a gate: a line for each team. */

import type { Ask } from "../protocol/mod.ts";

/** Where permits go. */
export interface Router {
  permit(ask: number, uncachedTokens: number): void;
}

/** An ask that waits. */
export interface WaitingAsk {
  readonly router: Router;
  readonly ask: Ask;
  /** Monotonic time by which its caller counts on its first event. */
  readonly objectiveAtMs: number;
}

/** How a gate orders teams. */
export interface Standing {
  readonly nowMs: number;
  /** Recent service of a team at the gate's engine. */
  serviceOf(team: string): number;
}

/** Lines by team, the most urgent ask of each first. */
export class AskLines {
  readonly #byTeam = new Map<string, WaitingAsk[]>();
  #size = 0;

  /** Asks that wait. */
  get size(): number {
    return this.#size;
  }

  /** Every ask that waits. */
  *[Symbol.iterator](): Iterator<WaitingAsk> {
    for (const line of this.#byTeam.values()) yield* line;
  }

  /** Adds an ask to its team's line. */
  add(waiting: WaitingAsk): void {
    const { team } = waiting.ask;
    const line = this.#byTeam.get(team) ?? [];
    this.#byTeam.set(team, line);
    const index = line.findIndex(
      (one) => one.objectiveAtMs > waiting.objectiveAtMs,
    );
    line.splice(index === -1 ? line.length : index, 0, waiting);
    this.#size += 1;
  }

  /** Removes an ask. */
  remove(waiting: WaitingAsk): void {
    this.#keep(waiting.ask.team, (one) => one !== waiting);
  }

  /** Removes every ask that matches. */
  removeWhere(matches: (waiting: WaitingAsk) => boolean): void {
    for (const team of [...this.#byTeam.keys()]) {
      this.#keep(team, (one) => !matches(one));
    }
  }

  /**
   * The most urgent ask of the team with the least service. Asks whose
   * objective has passed go behind all others: what they would take makes
   * more callers late.
   */
  next({ nowMs, serviceOf }: Standing): WaitingAsk | null {
    let next: WaitingAsk | null = null;
    let nextRank: readonly [number, number] = [2, 0];
    for (const [team, line] of this.#byTeam) {
      const timely = line.find(({ objectiveAtMs }) => objectiveAtMs > nowMs);
      const first = timely ?? line[0];
      if (first === undefined) continue;
      const service = first.ask.elsewhere + serviceOf(team);
      const rank = [timely === undefined ? 1 : 0, service] as const;
      if (!isBefore(rank, nextRank)) continue;
      next = first;
      nextRank = rank;
    }
    return next;
  }

  #keep(team: string, stays: (waiting: WaitingAsk) => boolean): void {
    const line = this.#byTeam.get(team) ?? [];
    const kept = line.filter(stays);
    this.#size -= line.length - kept.length;
    if (kept.length === 0) this.#byTeam.delete(team);
    else this.#byTeam.set(team, kept);
  }
}

function isBefore(
  [late, service]: readonly [number, number],
  [otherLate, otherService]: readonly [number, number],
): boolean {
  return late === otherLate ? service < otherService : late < otherLate;
}
