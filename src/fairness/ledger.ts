/**
 * Normalised service of each team, shared by the side processes of a service.
 *
 * Each process counts what it charged and refunded; a team's value is a level
 * plus all counters of its epoch. Counters and levels merge by maximum, epochs
 * by the highest, so updates may come in any order, twice, or not at all.
 */

import {
  type Account,
  type Counter,
  counterOf,
  createAccount,
  mergeCounter,
  reset,
  standingOf,
  toEntry,
  totalOf,
} from "./account.ts";
import type { LedgerEntry } from "./ledger_entry.ts";

/** Origins an entry may name before its counters are folded into its level. */
const ORIGIN_LIMIT = 64;
/** Debt that a team can owe, in units of the largest single charge. */
const DEBT_LIMIT_CHARGES = 50;
/** Collections for which an unused team is kept. */
export const KEPT_COLLECTIONS = 10;

/** One process's view of every team that was served or waits. */
export class Ledger {
  readonly #origin: string;
  readonly #entries = new Map<string, Account>();
  #epoch = 0;
  /** Highest epoch of a team that was dropped here. */
  #droppedEpoch = 0;
  #floor = 0;
  #largestCharge = 0;

  constructor(origin: string) {
    this.#origin = origin;
  }

  /** Number of teams with state. */
  get size(): number {
    return this.#entries.size;
  }

  /** Value that a team returning from idle is raised to. */
  get floor(): number {
    return this.#floor;
  }

  /** Returns a team's normalised service, alike at all processes in time. */
  value(team: string): number {
    const entry = this.#entries.get(team);
    return entry === undefined ? this.#floor : totalOf(entry);
  }

  /** Returns the value that this process orders a team by. */
  standing(team: string): number {
    const entry = this.#entries.get(team);
    return entry === undefined ? this.#floor : standingOf(entry);
  }

  /** Returns the normalised service of every team with state. */
  values(): Record<string, number> {
    const values: Record<string, number> = {};
    for (const [team, entry] of this.#entries) values[team] = totalOf(entry);
    return values;
  }

  /** Charges normalised service for a request that begins. */
  open(team: string, amount: number): void {
    const entry = this.#entry(team);
    entry.open += 1;
    this.charge(team, amount);
  }

  /** Says that a charged request has ended. */
  close(team: string): void {
    const entry = this.#entry(team);
    entry.open = Math.max(0, entry.open - 1);
  }

  /** Adds normalised service; a negative amount is a refund. */
  charge(team: string, amount: number): void {
    const entry = this.#entry(team);
    const own = this.#own(entry);
    if (amount >= 0) own.charged += amount;
    else own.refunded -= amount;
    this.#largestCharge = Math.max(this.#largestCharge, amount);
  }

  /** Notes whether a team waits here; raises it when it returns from idle. */
  setWaiting(team: string, waiting: boolean): void {
    if (!waiting) {
      this.#entries.get(team)?.waitingAt.delete(this.#origin);
      return;
    }
    const entry = this.#entry(team);
    if (entry.waitingAt.size === 0 && entry.open === 0) this.#raise(entry);
    entry.waitingAt.add(this.#origin);
  }

  /** Moves the floor up to what is served without anybody waiting. */
  advance(team: string): void {
    this.#floor = Math.max(this.#floor, this.standing(team));
  }

  /** Returns the least served of the teams, and moves the floor up to it. */
  leastServed(teams: Iterable<string>): string | null {
    let least: string | null = null;
    let leastValue = Number.POSITIVE_INFINITY;
    for (const team of teams) {
      const value = this.standing(team);
      if (value >= leastValue) continue;
      least = team;
      leastValue = value;
    }
    if (least !== null) this.#floor = Math.max(this.#floor, leastValue);
    return least;
  }

  /** Takes an update of a peer; returns whether the peer is behind. */
  merge(update: LedgerEntry): boolean {
    this.#epoch = Math.max(this.#epoch, update.epoch);
    const entry = this.#entries.get(update.team) ?? this.#adopt(update);
    entry.unusedCollections = 0;
    if (update.waiting) entry.waitingAt.add(update.origin);
    else entry.waitingAt.delete(update.origin);
    if (update.epoch < entry.epoch) return true;
    if (update.epoch > entry.epoch) {
      const before = totalOf(entry);
      reset(entry, update.epoch, update.level);
      mergeCounter(entry, update);
      // What this process charged in the old epoch must not be lost.
      entry.level += Math.max(0, before - totalOf(entry));
    } else {
      entry.level = Math.max(entry.level, update.level);
      mergeCounter(entry, update);
    }
    this.#forgive(entry);
    return false;
  }

  /** Returns a team's state as this process spreads it. */
  entry(team: string): LedgerEntry | null {
    const entry = this.#entries.get(team);
    if (entry === undefined) return null;
    return toEntry(team, entry, this.#origin, this.#isWaiting(entry));
  }

  /** Returns everything, counters of other origins too, for a new peer. */
  snapshot(): LedgerEntry[] {
    const updates: LedgerEntry[] = [];
    for (const [team, entry] of this.#entries) {
      const origins = new Set([this.#origin, ...entry.counters.keys()]);
      for (const origin of origins) {
        const waiting = entry.waitingAt.has(origin);
        updates.push(toEntry(team, entry, origin, waiting));
      }
    }
    return updates;
  }

  /** Forgets that teams wait at a process that is gone. */
  forget(origin: string): void {
    for (const entry of this.#entries.values()) entry.waitingAt.delete(origin);
  }

  /**
   * Drops what has no effect any more: idle teams at or below the floor that
   * many collections in a row found unused. A team that comes back costs a
   * message to each peer.
   */
  collect(): void {
    for (const [team, entry] of this.#entries) {
      if (entry.counters.size > ORIGIN_LIMIT) this.#fold(entry);
      entry.unusedCollections += 1;
      if (!this.#isDroppable(entry)) continue;
      this.#droppedEpoch = Math.max(this.#droppedEpoch, entry.epoch);
      this.#entries.delete(team);
    }
  }

  #isDroppable(entry: Account): boolean {
    if (entry.unusedCollections <= KEPT_COLLECTIONS) return false;
    const idle = entry.waitingAt.size === 0 && entry.open === 0;
    return idle && standingOf(entry) <= this.#floor;
  }

  #isWaiting(entry: Account): boolean {
    return entry.waitingAt.has(this.#origin);
  }

  #entry(team: string): Account {
    const known = this.#entries.get(team);
    if (known !== undefined) {
      known.unusedCollections = 0;
      return known;
    }
    this.#epoch += 1;
    const entry = createAccount(this.#epoch, this.#floor);
    this.#entries.set(team, entry);
    return entry;
  }

  /**
   * An update holds one process's counter only. For an epoch that may have
   * been dropped here, the others' are missing: a new epoch makes the peers
   * fold what they know into their level, which is then merged.
   */
  #adopt(update: LedgerEntry): Account {
    if (update.epoch <= this.#droppedEpoch) return this.#entry(update.team);
    const entry = createAccount(update.epoch, update.level);
    this.#entries.set(update.team, entry);
    return entry;
  }

  #own(entry: Account): Counter {
    return counterOf(entry, this.#origin);
  }

  #raise(entry: Account): void {
    entry.level += Math.max(0, this.#floor - standingOf(entry));
  }

  #fold(entry: Account): void {
    this.#epoch += 1;
    reset(entry, this.#epoch, totalOf(entry));
  }

  #forgive(entry: Account): void {
    const limit = this.#floor + DEBT_LIMIT_CHARGES * this.#largestCharge;
    if (this.#largestCharge === 0) return;
    entry.forgiven += Math.max(0, standingOf(entry) - limit);
  }
}
