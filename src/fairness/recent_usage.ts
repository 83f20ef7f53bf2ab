/** Recent service of each team, with exponential decay. */

import type { Clock } from "../common/clock.ts";

/** Fair shares are judged over a few seconds; older service must not count. */
const HALF_LIFE_MS = 2_000;
/** A team with less service is removed, in cost units. */
const NEGLIGIBLE_SERVICE = 0.5;

interface DecayingService {
  service: number;
  updatedAtMs: number;
}

/** Decaying service by team; because it decays, errors need no correction. */
export class RecentService {
  readonly #clock: Clock;
  readonly #servicesByTeam = new Map<string, DecayingService>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Returns a team's recent service, decayed to the present. */
  of(team: string): number {
    const entry = this.#servicesByTeam.get(team);
    return entry === undefined ? 0 : this.#decayed(entry);
  }

  /** Adds service. */
  add(team: string, service: number): void {
    this.set(team, this.of(team) + service);
  }

  /** Replaces a team's service, for instance by a reported value. */
  set(team: string, service: number): void {
    const updatedAtMs = this.#clock.monotonicMs();
    this.#servicesByTeam.set(team, { service, updatedAtMs });
  }

  /** Iterates over the teams, and removes those with negligible service. */
  *[Symbol.iterator](): Iterator<readonly [team: string, service: number]> {
    for (const [team, entry] of this.#servicesByTeam) {
      const service = this.#decayed(entry);
      if (service < NEGLIGIBLE_SERVICE) this.#servicesByTeam.delete(team);
      else yield [team, service];
    }
  }

  #decayed({ service, updatedAtMs }: DecayingService): number {
    const ageMs = this.#clock.monotonicMs() - updatedAtMs;
    return service * 0.5 ** (ageMs / HALF_LIFE_MS);
  }
}
