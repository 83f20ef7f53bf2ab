/** One team's state in the ledger, and its encoding for the wire. */

import type { PackedEntry } from "../protocol/mod.ts";

/** Amounts on the wire are integers, in 1/16 of a cost unit. */
const WIRE_UNITS_PER_COST_UNIT = 16;

/** One team's state, with the counter of one process. */
export interface LedgerEntry {
  readonly team: string;
  readonly epoch: number;
  readonly level: number;
  /** Process that counted `charged` and `refunded`. */
  readonly origin: string;
  readonly charged: number;
  readonly refunded: number;
  /** Whether requests of the team wait at the origin. */
  readonly waiting: boolean;
}

/** Encodes an entry for a peer; `sender` is the origin of this process. */
export function packEntry(entry: LedgerEntry, sender: string): PackedEntry {
  const { team, epoch, level, charged, refunded, waiting } = entry;
  const origin = entry.origin === sender ? "" : entry.origin;
  const amounts = [level, charged, refunded].map(toWireUnits);
  const [levelUnits = 0, chargedUnits = 0, refundedUnits = 0] = amounts;
  return [
    ...([team, epoch, levelUnits, chargedUnits, refundedUnits] as const),
    ...([waiting, origin] as const),
  ];
}

/** Decodes an entry from a peer; `sender` is the origin of that peer. */
export function unpackEntry(packed: PackedEntry, sender: string): LedgerEntry {
  const [team, epoch, level, charged, refunded, waiting, origin] = packed;
  return {
    ...{ team, epoch, waiting },
    level: level / WIRE_UNITS_PER_COST_UNIT,
    charged: charged / WIRE_UNITS_PER_COST_UNIT,
    refunded: refunded / WIRE_UNITS_PER_COST_UNIT,
    origin: origin === "" ? sender : origin,
  };
}

function toWireUnits(amount: number): number {
  return Math.round(amount * WIRE_UNITS_PER_COST_UNIT);
}
