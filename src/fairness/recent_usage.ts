/** Recent usage of each team, with exponential decay. */

import type { Clock } from "../common/clock.ts";

/** Fair shares are judged over a few seconds; older usage must not count. */
const HALF_LIFE_MS = 2_000;
/** A team with less usage is removed, in prompt tokens. */
const NEGLIGIBLE_USAGE = 0.5;

interface DecayingUsage {
  usage: number;
  updatedAtMs: number;
}

/** Usage by team, in prompt tokens; errors need no correction: they decay. */
export class RecentUsage {
  readonly #clock: Clock;
  readonly #usageByTeam = new Map<string, DecayingUsage>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Returns a team's recent usage, decayed to the present. */
  of(team: string): number {
    const entry = this.#usageByTeam.get(team);
    return entry === undefined ? 0 : this.#decayed(entry);
  }

  /** Adds usage. */
  add(team: string, usage: number): void {
    this.set(team, this.of(team) + usage);
  }

  /** Replaces a team's usage, for instance by a reported value. */
  set(team: string, usage: number): void {
    const updatedAtMs = this.#clock.monotonicMs();
    this.#usageByTeam.set(team, { usage, updatedAtMs });
  }

  /** Iterates over the teams, and removes those with negligible usage. */
  *[Symbol.iterator](): Iterator<readonly [team: string, usage: number]> {
    for (const [team, entry] of this.#usageByTeam) {
      const usage = this.#decayed(entry);
      if (usage < NEGLIGIBLE_USAGE) this.#usageByTeam.delete(team);
      else yield [team, usage];
    }
  }

  #decayed({ usage, updatedAtMs }: DecayingUsage): number {
    const ageMs = this.#clock.monotonicMs() - updatedAtMs;
    return usage * 0.5 ** (ageMs / HALF_LIFE_MS);
  }
}
