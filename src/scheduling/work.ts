/** Amounts of work at one backend server. */

/** Work that a server has to do. */
export interface Work {
  /** Number of requests in flight. */
  readonly runs: number;
  /** Prompt tokens of requests in flight that are still to be prefilled. */
  readonly unreadTokens: number;
  /** Tokens of KV cache that requests need beyond shared prefixes. */
  readonly privateTokens: number;
}

/** No work. */
export const IDLE: Work = { runs: 0, unreadTokens: 0, privateTokens: 0 };

/** Returns the sum of two amounts. */
export function add(a: Work, b: Work): Work {
  return {
    runs: a.runs + b.runs,
    unreadTokens: a.unreadTokens + b.unreadTokens,
    privateTokens: a.privateTokens + b.privateTokens,
  };
}

/** Returns `a` without `b`; no field falls below 0. */
export function subtract(a: Work, b: Work): Work {
  return {
    runs: Math.max(0, a.runs - b.runs),
    unreadTokens: Math.max(0, a.unreadTokens - b.unreadTokens),
    privateTokens: Math.max(0, a.privateTokens - b.privateTokens),
  };
}
