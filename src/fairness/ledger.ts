/**
 * Ledger of what each team was served, replicated among the side processes of
 * one group of backend servers. "Service" is normalised service here: the cost
 * of what a team was served, divided by its weight.
 *
 * Each process counts what it charged and refunded. A team's service is its
 * level plus all counters of its epoch. Counters and levels merge by maximum,
 * and the highest epoch wins, so updates may be reordered, repeated or lost.
 */

import {
  type Account,
  type Counter,
  createAccount,
  effectiveServiceOf,
  getOrCreateCounter,
  mergeCounter,
  resetToEpoch,
  toLedgerEntry,
  totalServiceOf,
} from "./account.ts";
import type { LedgerEntry } from "./ledger_entry.ts";

/** An account with counters of more origins folds them into its level. */
const ORIGIN_LIMIT = 64;
/** Limit of a team's debt above the floor, in units of the largest charge. */
const DEBT_LIMIT_CHARGES = 50;
/** `collect` calls for which an unused team is kept. */
export const MAX_UNUSED_COLLECTIONS = 10;

/** One process's replica: every team that was served or waits. */
export class Ledger {
  readonly #origin: string;
  readonly #accounts = new Map<string, Account>();
  #epoch = 0;
  /** Highest epoch of all teams that `collect` has dropped. */
  #droppedEpoch = 0;
  /** Virtual time: highest service of a team when its turn came. */
  #floor = 0;
  #largestCharge = 0;

  /** @param origin id of this process, under which peers know its counters */
  constructor(origin: string) {
    this.#origin = origin;
  }

  /** Number of teams in the ledger. */
  get size(): number {
    return this.#accounts.size;
  }

  /**
   * Service that a team is raised to when it returns from idle, so that it
   * has no credit from the time when it sent nothing.
   */
  get floor(): number {
    return this.#floor;
  }

  /** Returns a team's normalised service, which converges among processes. */
  totalService(team: string): number {
    const account = this.#accounts.get(team);
    return account === undefined ? this.#floor : totalServiceOf(account);
  }

  /** Returns the service by which this process orders teams; debt is capped. */
  effectiveService(team: string): number {
    const account = this.#accounts.get(team);
    return account === undefined ? this.#floor : effectiveServiceOf(account);
  }

  /** Returns the normalised service of every team in the ledger. */
  totalServices(): Record<string, number> {
    const values: Record<string, number> = {};
    for (const [team, account] of this.#accounts)
      values[team] = totalServiceOf(account);
    return values;
  }

  /** Counts a request as open and charges its normalised service. */
  beginRequest(team: string, amount: number): void {
    const account = this.#getOrCreateAccount(team);
    account.openRequests += 1;
    this.charge(team, amount);
  }

  /** Counts an open request as ended. */
  endRequest(team: string): void {
    const account = this.#getOrCreateAccount(team);
    account.openRequests = Math.max(0, account.openRequests - 1);
  }

  /** Adds normalised service; a negative amount is a refund. */
  charge(team: string, amount: number): void {
    const account = this.#getOrCreateAccount(team);
    const counter = this.#ownCounter(account);
    if (amount >= 0) counter.charged += amount;
    else counter.refunded -= amount;
    this.#largestCharge = Math.max(this.#largestCharge, amount);
  }

  /**
   * Records whether requests of a team wait at this process. A team that
   * returns from idle is raised to the floor.
   */
  setWaiting(team: string, waiting: boolean): void {
    if (!waiting) {
      this.#accounts.get(team)?.waitingAt.delete(this.#origin);
      return;
    }
    const account = this.#getOrCreateAccount(team);
    if (account.waitingAt.size === 0 && account.openRequests === 0)
      this.#raiseToFloor(account);
    account.waitingAt.add(this.#origin);
  }

  /** Raises the floor to a team's service, for a request served at once. */
  raiseFloor(team: string): void {
    this.#floor = Math.max(this.#floor, this.effectiveService(team));
  }

  /** Returns the least served of the teams, and raises the floor to it. */
  leastServed(teams: Iterable<string>): string | null {
    let least: string | null = null;
    let leastService = Number.POSITIVE_INFINITY;
    for (const team of teams) {
      const service = this.effectiveService(team);
      if (service >= leastService) continue;
      least = team;
      leastService = service;
    }
    if (least !== null) this.#floor = Math.max(this.#floor, leastService);
    return least;
  }

  /** Merges a peer's update; returns whether its epoch is an older one. */
  merge(update: LedgerEntry): boolean {
    this.#epoch = Math.max(this.#epoch, update.epoch);
    const account =
      this.#accounts.get(update.team) ?? this.#createFromUpdate(update);
    account.unusedCollections = 0;
    if (update.waiting) account.waitingAt.add(update.origin);
    else account.waitingAt.delete(update.origin);
    if (update.epoch < account.epoch) return true;
    if (update.epoch > account.epoch) {
      const before = totalServiceOf(account);
      resetToEpoch(account, update.epoch, update.level);
      mergeCounter(account, update);
      // What this process charged in the old epoch must not be lost: keep what
      // the new level does not include.
      account.level += Math.max(0, before - totalServiceOf(account));
    } else {
      account.level = Math.max(account.level, update.level);
      mergeCounter(account, update);
    }
    this.#capDebt(account);
    return false;
  }

  /** Returns a team's state with this process's counter, to send to peers. */
  entry(team: string): LedgerEntry | null {
    const account = this.#accounts.get(team);
    if (account === undefined) return null;
    return toLedgerEntry(team, account, this.#origin, this.#isWaiting(account));
  }

  /** Returns all state, with the counters of all origins, for a new peer. */
  snapshot(): LedgerEntry[] {
    const entries: LedgerEntry[] = [];
    for (const [team, account] of this.#accounts) {
      const origins = new Set([this.#origin, ...account.counters.keys()]);
      for (const origin of origins) {
        const waiting = account.waitingAt.has(origin);
        entries.push(toLedgerEntry(team, account, origin, waiting));
      }
    }
    return entries;
  }

  /** Clears the waiting state of all teams at a process that is gone. */
  clearWaitingAt(origin: string): void {
    for (const account of this.#accounts.values())
      account.waitingAt.delete(origin);
  }

  /**
   * Drops idle teams at or below the floor, which have no effect any more.
   * They are kept for several calls first, because a team that comes back
   * costs a message to each peer.
   */
  collect(): void {
    for (const [team, account] of this.#accounts) {
      if (account.counters.size > ORIGIN_LIMIT) this.#foldCounters(account);
      account.unusedCollections += 1;
      if (!this.#isDroppable(account)) continue;
      this.#droppedEpoch = Math.max(this.#droppedEpoch, account.epoch);
      this.#accounts.delete(team);
    }
  }

  #isDroppable(account: Account): boolean {
    if (account.unusedCollections <= MAX_UNUSED_COLLECTIONS) return false;
    const idle = account.waitingAt.size === 0 && account.openRequests === 0;
    return idle && effectiveServiceOf(account) <= this.#floor;
  }

  #isWaiting(account: Account): boolean {
    return account.waitingAt.has(this.#origin);
  }

  #getOrCreateAccount(team: string): Account {
    const known = this.#accounts.get(team);
    if (known !== undefined) {
      known.unusedCollections = 0;
      return known;
    }
    this.#epoch += 1;
    const account = createAccount(this.#epoch, this.#floor);
    this.#accounts.set(team, account);
    return account;
  }

  /**
   * Creates the account of a team that is unknown here. An update holds the
   * counter of one process only. If the team may have been dropped here in the
   * update's epoch, the other counters are missing: a new epoch makes the
   * peers fold theirs into their level, which is then merged.
   */
  #createFromUpdate(update: LedgerEntry): Account {
    if (update.epoch <= this.#droppedEpoch)
      return this.#getOrCreateAccount(update.team);
    const account = createAccount(update.epoch, update.level);
    this.#accounts.set(update.team, account);
    return account;
  }

  #ownCounter(account: Account): Counter {
    return getOrCreateCounter(account, this.#origin);
  }

  #raiseToFloor(account: Account): void {
    account.level += Math.max(0, this.#floor - effectiveServiceOf(account));
  }

  #foldCounters(account: Account): void {
    this.#epoch += 1;
    resetToEpoch(account, this.#epoch, totalServiceOf(account));
  }

  #capDebt(account: Account): void {
    const limit = this.#floor + DEBT_LIMIT_CHARGES * this.#largestCharge;
    if (this.#largestCharge === 0) return;
    account.forgivenDebt += Math.max(0, effectiveServiceOf(account) - limit);
  }
}
