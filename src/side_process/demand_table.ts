/** Numbers of waiting requests, as reported by the routers. */

import type { Clock } from "../common/clock.ts";

/** Waiting requests of one team at one router. */
interface RouterDemand {
  count: number;
  /** Monotonic time since when the oldest of them counts as waiting. */
  sinceMs: number;
}

/** Waiting requests by team, and by router within a team. */
export class DemandTable<Router> {
  readonly #clock: Clock;
  readonly #teams = new Map<string, Map<Router, RouterDemand>>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Teams that have waiting requests. */
  get teams(): Iterable<string> {
    return this.#teams.keys();
  }

  /** Whether no request of any team waits. */
  get empty(): boolean {
    return this.#teams.size === 0;
  }

  /** Whether requests of a team wait. */
  has(team: string): boolean {
    return this.#teams.has(team);
  }

  /**
   * Sets how many requests of a team wait at a router, and how long ago the
   * oldest of them began to wait.
   */
  set(
    router: Router,
    team: string,
    { count, ageMs }: { readonly count: number; readonly ageMs: number },
  ): void {
    if (count === 0) {
      this.#removeTeam(router, team);
      return;
    }
    const sinceMs = this.#clock.monotonicMs() - ageMs;
    const routers = this.#teams.get(team) ?? new Map<Router, RouterDemand>();
    routers.set(router, { count, sinceMs });
    this.#teams.set(team, routers);
  }

  /**
   * Takes one waiting request of a team off the router that has waited
   * longest, and returns that router; null if no request of the team waits.
   */
  takeLongestWaiting(team: string): Router | null {
    const routers = this.#teams.get(team);
    if (routers === undefined) return null;
    let longestWaiting: Router | null = null;
    let sinceMs = Number.POSITIVE_INFINITY;
    for (const [router, waiting] of routers) {
      if (waiting.sinceMs >= sinceMs) continue;
      longestWaiting = router;
      sinceMs = waiting.sinceMs;
    }
    if (longestWaiting === null) return null;
    const waiting = routers.get(longestWaiting) as RouterDemand;
    waiting.count -= 1;
    // The age of the router's next request is unknown here. Counting it from
    // now makes the routers take turns.
    waiting.sinceMs = this.#clock.monotonicMs();
    if (waiting.count === 0) this.#removeTeam(longestWaiting, team);
    return longestWaiting;
  }

  /** Removes a router; returns the teams that have no waiting requests now. */
  remove(router: Router): string[] {
    const withoutDemand: string[] = [];
    for (const team of [...this.#teams.keys()]) {
      this.#removeTeam(router, team);
      if (!this.#teams.has(team)) withoutDemand.push(team);
    }
    return withoutDemand;
  }

  #removeTeam(router: Router, team: string): void {
    const routers = this.#teams.get(team);
    if (routers === undefined) return;
    routers.delete(router);
    if (routers.size === 0) this.#teams.delete(team);
  }
}
