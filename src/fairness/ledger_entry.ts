/** One team's state in the ledger, and its form on the wire. */

import type { PackedEntry } from "../protocol/mod.ts";

/** Amounts on the wire are whole multiples of this part of a unit. */
const UNITS_PER_AMOUNT = 16;

/** One team's state as one process sees it. */
export interface LedgerEntry {
  readonly team: string;
  readonly epoch: number;
  readonly level: number;
  /** Process whose counters these are. */
  readonly origin: string;
  readonly charged: number;
  readonly refunded: number;
  /** Whether the team waits at the origin. */
  readonly waiting: boolean;
}

/** Returns an entry for a peer; `sender` is the own origin. */
export function pack(entry: LedgerEntry, sender: string): PackedEntry {
  const { team, epoch, level, charged, refunded, waiting } = entry;
  const origin = entry.origin === sender ? "" : entry.origin;
  const amounts = [level, charged, refunded].map(toUnits);
  const [levelUnits = 0, chargedUnits = 0, refundedUnits = 0] = amounts;
  return [
    ...([team, epoch, levelUnits, chargedUnits, refundedUnits] as const),
    ...([waiting, origin] as const),
  ];
}

/** Returns the entry that a peer sent. */
export function unpack(packed: PackedEntry, sender: string): LedgerEntry {
  const [team, epoch, level, charged, refunded, waiting, origin] = packed;
  return {
    ...{ team, epoch, waiting },
    level: level / UNITS_PER_AMOUNT,
    charged: charged / UNITS_PER_AMOUNT,
    refunded: refunded / UNITS_PER_AMOUNT,
    origin: origin === "" ? sender : origin,
  };
}

function toUnits(amount: number): number {
  return Math.round(amount * UNITS_PER_AMOUNT);
}
