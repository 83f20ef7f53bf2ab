/**
 * A team's account in one process's ledger. "Service" is normalised service
 * here: the cost of what the team was served, divided by its weight.
 */

import type { LedgerEntry } from "./ledger_entry.ts";

/** What one process charged a team; both amounts only grow. */
export interface Counter {
  charged: number;
  refunded: number;
}

/** State of one team, as one process knows it. */
export interface Account {
  /** Counters belong to one epoch; a higher epoch replaces them. */
  epoch: number;
  /** Service at the start of the epoch, and raises to the floor since. */
  level: number;
  /** Service beyond the debt limit; this process doesn't count it. */
  forgivenDebt: number;
  readonly counters: Map<string, Counter>;
  /** Origins (processes) at which requests of the team wait. */
  readonly waitingAt: Set<string>;
  /** Requests charged by this process that have not ended. */
  openRequests: number;
  /** `collect` calls since the team was last charged, updated or waiting. */
  unusedCollections: number;
}

/** Returns an account without counters. */
export function createAccount(epoch: number, level: number): Account {
  return {
    epoch,
    level,
    forgivenDebt: 0,
    counters: new Map(),
    waitingAt: new Set(),
    openRequests: 0,
    unusedCollections: 0,
  };
}

/** Starts an epoch without counters; `level` includes the previous ones. */
export function resetToEpoch(
  account: Account,
  epoch: number,
  level: number,
): void {
  account.epoch = epoch;
  account.level = level;
  account.forgivenDebt = 0;
  account.counters.clear();
}

/** Returns the service by which teams are ordered, with capped debt. */
export function effectiveServiceOf(account: Account): number {
  return totalServiceOf(account) - account.forgivenDebt;
}

/** Returns normalised service with all of its debt. */
export function totalServiceOf({ level, counters }: Account): number {
  let service = level;
  for (const { charged, refunded } of counters.values()) {
    service += charged - refunded;
  }
  return service;
}

/** Returns the counter of a process; creates it if it is missing. */
export function getOrCreateCounter(account: Account, origin: string): Counter {
  const known = account.counters.get(origin);
  if (known !== undefined) return known;
  const counter = { charged: 0, refunded: 0 };
  account.counters.set(origin, counter);
  return counter;
}

/** Merges a process's counter by maximum. */
export function mergeCounter(account: Account, update: LedgerEntry): void {
  if (update.charged === 0 && update.refunded === 0) return;
  const counter = getOrCreateCounter(account, update.origin);
  counter.charged = Math.max(counter.charged, update.charged);
  counter.refunded = Math.max(counter.refunded, update.refunded);
}

/** Returns the account's state with the counter of one process. */
export function toLedgerEntry(
  team: string,
  account: Account,
  origin: string,
  waiting: boolean,
): LedgerEntry {
  const { epoch, level } = account;
  const counter = account.counters.get(origin);
  const charged = counter?.charged ?? 0;
  const refunded = counter?.refunded ?? 0;
  return { team, epoch, level, origin, charged, refunded, waiting };
}
