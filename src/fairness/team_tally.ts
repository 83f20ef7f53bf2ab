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
  readonly #byTeam = new Map<
    string,
    { tokens: number; readonly counts: Record<string, number> }
  >();

  /** Counts a request of `tokens` prompt tokens. */
  add(team: string, outcome: string, tokens: number): void {
    const entry = this.#byTeam.get(team) ?? { tokens: 0, counts: {} };
    this.#byTeam.set(team, entry);
    const { counts } = entry;
    const tokensField = `${outcome}Tokens`;
    counts[outcome] = (counts[outcome] ?? 0) + 1;
    counts[tokensField] = (counts[tokensField] ?? 0) + tokens;
    entry.tokens += tokens;
  }

  /** Whether a request had this outcome in the interval. */
  has(outcome: string): boolean {
    return [...this.#byTeam.values()].some(({ counts }) => outcome in counts);
  }

  /** Returns up to `limit` teams with the most tokens, and starts anew. */
  take(limit: number): TeamEntry[] {
    const entries = [...this.#byTeam].sort(
      ([, a], [, b]) => b.tokens - a.tokens,
    );
    this.#byTeam.clear();
    return entries
      .slice(0, limit)
      .map(([team, { counts }]) => ({ team, counts }));
  }
}
