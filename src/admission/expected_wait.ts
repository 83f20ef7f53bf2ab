/**
 * How long an ask would wait for its permit.
 *
 * Answers a flood: most of what it asks can't be permitted in time, and
 * whoever is told so at once can come back while that still counts.
 */

/** What a team has waiting. */
export interface TeamLine {
  /** Its recent service over all engines. */
  readonly service: number;
  /** Service that what waits would take. */
  readonly cost: number;
  /** Tokens that would be read for what waits. */
  readonly uncachedTokens: number;
}

/**
 * Returns the tokens that are read before a request's turn comes: what stands
 * before it in its own team's line, and of each other line what brings that
 * team to the same service.
 *
 * @param ahead the part of its own team's line that stands before it
 */
export function tokensBefore(
  ahead: TeamLine,
  others: Iterable<TeamLine>,
): number {
  const turnAt = ahead.service + ahead.cost;
  let tokens = ahead.uncachedTokens;
  for (const { service, cost, uncachedTokens } of others) {
    if (service >= turnAt || cost === 0) continue;
    tokens += Math.min(1, (turnAt - service) / cost) * uncachedTokens;
  }
  return tokens;
}
