/** Messages that report waiting requests and grant slots for them. */

/** Number of a team's requests that wait at a router, and the oldest's age. */
export type TeamDemand = readonly [
  team: string,
  count: number,
  oldestAgeMs: number,
];

/** Reports the teams whose waiting requests have changed at a router. */
export interface Demand {
  readonly type: "demand";
  readonly teams: readonly TeamDemand[];
}

/** Grants a slot to one of a team's waiting requests at a router. */
export interface Grant {
  readonly type: "grant";
  readonly grant: number;
  readonly team: string;
}

/** Returns a grant for which no request is waiting any more. */
export interface UnusedGrant {
  readonly type: "grant-unused";
  readonly grant: number;
  readonly team: string;
  readonly waiting: number;
}

/** Reports that the sender has free slots and no waiting requests. */
export interface Availability {
  readonly type: "availability";
  readonly free: number;
  readonly slots: number;
}
