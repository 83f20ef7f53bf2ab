/** Messages that spread what teams were charged. */

/** One team's state in the shared ledger; amounts in 1/16 of a unit. */
export type PackedEntry = readonly [
  team: string,
  epoch: number,
  level: number,
  charged: number,
  refunded: number,
  waiting: boolean,
  /** Process whose counters these are; empty for the sender. */
  origin: string,
];

/** Spreads counters between side processes of one service. */
export interface Counters {
  readonly type: "counters";
  readonly entries: readonly PackedEntry[];
}
