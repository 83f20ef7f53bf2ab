/** Messages that replicate the service that teams were charged. */

/** One team's state in the ledger; amounts are in 1/16 of a cost unit. */
export type PackedEntry = readonly [
  team: string,
  epoch: number,
  level: number,
  charged: number,
  refunded: number,
  waiting: boolean,
  /** Process that counted `charged` and `refunded`; empty for the sender. */
  origin: string,
];

/** Sends ledger entries to another side process of the same service. */
export interface LedgerUpdate {
  readonly type: "counters";
  readonly entries: readonly PackedEntry[];
}
