/** What a ledger keeps of one team. */

import type { LedgerEntry } from "./ledger_entry.ts";

/** What one process charged a team. */
export interface Counter {
  charged: number;
  refunded: number;
}

/** One team, as one process sees it. */
export interface Account {
  epoch: number;
  level: number;
  /** Debt beyond the limit that this process does not hold against it. */
  forgiven: number;
  readonly counters: Map<string, Counter>;
  /** Origins at which the team waits. */
  readonly waitingAt: Set<string>;
  /** Requests charged here that have not ended. */
  open: number;
  /** Collections since it was last charged, told of or waited. */
  unusedCollections: number;
}

/** Returns an account without counters. */
export function createAccount(epoch: number, level: number): Account {
  return {
    epoch,
    level,
    forgiven: 0,
    counters: new Map(),
    waitingAt: new Set(),
    open: 0,
    unusedCollections: 0,
  };
}

/** Begins an epoch: counters of the one before are in its level. */
export function reset(entry: Account, epoch: number, level: number): void {
  entry.epoch = epoch;
  entry.level = level;
  entry.forgiven = 0;
  entry.counters.clear();
}

/** Returns the value that orders a team. */
export function standingOf(entry: Account): number {
  return totalOf(entry) - entry.forgiven;
}

/** Returns normalised service, debt included. */
export function totalOf({ level, counters }: Account): number {
  let value = level;
  for (const { charged, refunded } of counters.values()) {
    value += charged - refunded;
  }
  return value;
}

/** Returns the counter of a process, a new one if need be. */
export function counterOf(entry: Account, origin: string): Counter {
  const known = entry.counters.get(origin);
  if (known !== undefined) return known;
  const counter = { charged: 0, refunded: 0 };
  entry.counters.set(origin, counter);
  return counter;
}

/** Takes what a process charged, by maximum. */
export function mergeCounter(entry: Account, update: LedgerEntry): void {
  if (update.charged === 0 && update.refunded === 0) return;
  const counter = counterOf(entry, update.origin);
  counter.charged = Math.max(counter.charged, update.charged);
  counter.refunded = Math.max(counter.refunded, update.refunded);
}

/** Returns what one process would say of the account. */
export function toEntry(
  team: string,
  entry: Account,
  origin: string,
  waiting: boolean,
): LedgerEntry {
  const { epoch, level } = entry;
  const counter = entry.counters.get(origin);
  const charged = counter?.charged ?? 0;
  const refunded = counter?.refunded ?? 0;
  return { team, epoch, level, origin, charged, refunded, waiting };
}
