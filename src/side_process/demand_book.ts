/** What routers said of their waiting requests. */

import type { Clock } from "../common/clock.ts";

interface Waiting {
  count: number;
  sinceMs: number;
}

/** Waiting requests by team and router. */
export class DemandBook<Router> {
  readonly #clock: Clock;
  readonly #teams = new Map<string, Map<Router, Waiting>>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Teams with waiting requests. */
  get teams(): Iterable<string> {
    return this.#teams.keys();
  }

  /** Whether no request waits. */
  get empty(): boolean {
    return this.#teams.size === 0;
  }

  /** Whether requests of a team wait. */
  has(team: string): boolean {
    return this.#teams.has(team);
  }

  /** Takes a router's word for how many requests of a team wait. */
  set(
    router: Router,
    team: string,
    { count, ageMs }: { readonly count: number; readonly ageMs: number },
  ): void {
    if (count === 0) {
      this.#remove(router, team);
      return;
    }
    const sinceMs = this.#clock.monotonicMs() - ageMs;
    const routers = this.#teams.get(team) ?? new Map<Router, Waiting>();
    routers.set(router, { count, sinceMs });
    this.#teams.set(team, routers);
  }

  /** Takes one request of a team, at the router that waits longest. */
  take(team: string): Router | null {
    const routers = this.#teams.get(team);
    if (routers === undefined) return null;
    let longest: Router | null = null;
    let sinceMs = Number.POSITIVE_INFINITY;
    for (const [router, waiting] of routers) {
      if (waiting.sinceMs >= sinceMs) continue;
      longest = router;
      sinceMs = waiting.sinceMs;
    }
    if (longest === null) return null;
    const waiting = routers.get(longest) as Waiting;
    waiting.count -= 1;
    // The next one is younger: routers take turns.
    waiting.sinceMs = this.#clock.monotonicMs();
    if (waiting.count === 0) this.#remove(longest, team);
    return longest;
  }

  /** Forgets a router; returns the teams that no longer wait. */
  drop(router: Router): string[] {
    const ended: string[] = [];
    for (const team of [...this.#teams.keys()]) {
      this.#remove(router, team);
      if (!this.#teams.has(team)) ended.push(team);
    }
    return ended;
  }

  #remove(router: Router, team: string): void {
    const routers = this.#teams.get(team);
    if (routers === undefined) return;
    routers.delete(router);
    if (routers.size === 0) this.#teams.delete(team);
  }
}
