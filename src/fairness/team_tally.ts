/** Counts by team what became of requests, for periodic log lines. */

/** Number of requests, and their prompt tokens, by outcome. */
export type TeamCounts = Readonly<Record<string, number>>;

/** A team's counts of one interval. */
export interface TeamEntry {
  readonly team: string;
  readonly counts: TeamCounts;
}

/** Counts of the current interval; `take` starts the next one. */
export class TeamTally {
  readonly #countsByTeam = new Map<string, Record<string, number>>();
  readonly #tokensByTeam = new Map<string, number>();
  readonly #outcomes = new Set<string>();

  /** Counts a request of `tokens` prompt tokens. */
  add(team: string, outcome: string, tokens: number): void {
    const counts = this.#countsByTeam.get(team) ?? {};
    this.#countsByTeam.set(team, counts);
    counts[outcome] = (counts[outcome] ?? 0) + 1;
    const tokensField = `${outcome}Tokens`;
    counts[tokensField] = (counts[tokensField] ?? 0) + tokens;
    const total = this.#tokensByTeam.get(team) ?? 0;
    this.#tokensByTeam.set(team, total + tokens);
    this.#outcomes.add(outcome);
  }

  /** Whether a request had this outcome in the interval. */
  has(outcome: string): boolean {
    return this.#outcomes.has(outcome);
  }

  /** Returns up to `limit` teams with the most tokens, and starts anew. */
  take(limit: number): TeamEntry[] {
    const entries = [...this.#countsByTeam].map(([team, counts]) => ({
      ...{ team, counts, tokens: this.#tokensByTeam.get(team) ?? 0 },
    }));
    entries.sort((a, b) => b.tokens - a.tokens);
    this.#countsByTeam.clear();
    this.#tokensByTeam.clear();
    this.#outcomes.clear();
    return entries
      .slice(0, limit)
      .map(({ team, counts }) => ({ team, counts }));
  }
}
