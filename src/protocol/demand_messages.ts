/** Messages by which routers ask for slots and get them. */

/** How many requests of a team wait at a router, and the oldest's age. */
export type TeamDemand = readonly [
  team: string,
  count: number,
  oldestAgeMs: number,
];

/** Says what has changed in a router's waiting requests. */
export interface Demand {
  readonly type: "demand";
  readonly teams: readonly TeamDemand[];
}

/** Offers a slot to a team's waiting requests at one router. */
export interface Grant {
  readonly type: "grant";
  readonly grant: number;
  readonly team: string;
}

/** Returns a grant for which no request waits. */
export interface GrantUnused {
  readonly type: "grant-unused";
  readonly grant: number;
  readonly team: string;
  readonly waiting: number;
}

/** Says that the sender has free slots and no backlog. */
export interface Availability {
  readonly type: "availability";
  readonly free: number;
  readonly slots: number;
}
