/** Chooses which teams' counters to send to peers, and when. */

import type { Clock } from "../common/clock.ts";
import type { Ledger } from "./ledger.ts";
import type { LedgerEntry } from "./ledger_entry.ts";

/** A change of "waiting" must last this long before it is sent alone. */
const WAITING_SETTLED_MS = 500;

interface Sent {
  value: number;
  waiting: boolean;
  /** When "waiting" began to differ from what was sent; null if it doesn't. */
  differsSinceMs: number | null;
}

/** Remembers what peers know, and finds what they should know. */
export class CounterSpread {
  readonly #ledger: Ledger;
  readonly #clock: Clock;
  readonly #touched = new Set<string>();
  readonly #sent = new Map<string, Sent>();

  constructor(ledger: Ledger, clock: Clock) {
    this.#ledger = ledger;
    this.#clock = clock;
  }

  /** Notes that a team was charged here or began or ceased to wait. */
  touch(team: string): void {
    this.#touched.add(team);
  }

  /** Returns the entries that moved by more than `quantum` since sent. */
  due(quantum: number): LedgerEntry[] {
    const due: LedgerEntry[] = [];
    for (const team of this.#touched) {
      const entry = this.#ledger.entry(team);
      if (entry === null) this.#forget(team);
      else if (this.#isDue(entry, quantum)) {
        due.push(entry);
        this.#note(entry);
      }
    }
    return due;
  }

  /** Forgets teams that the ledger no longer holds. */
  collect(): void {
    for (const team of this.#sent.keys()) {
      if (this.#ledger.entry(team) === null) this.#forget(team);
    }
  }

  #isDue(entry: LedgerEntry, quantum: number): boolean {
    const sent = this.#sentOf(entry);
    const moved = Math.abs(own(entry) - sent.value);
    if (moved >= quantum) return true;
    if (sent.waiting === entry.waiting) {
      sent.differsSinceMs = null;
      if (moved === 0) this.#touched.delete(entry.team);
      return false;
    }
    const nowMs = this.#clock.monotonicMs();
    sent.differsSinceMs ??= nowMs;
    return nowMs - sent.differsSinceMs >= WAITING_SETTLED_MS;
  }

  #sentOf({ team }: LedgerEntry): Sent {
    const known = this.#sent.get(team);
    if (known !== undefined) return known;
    const sent = { value: 0, waiting: false, differsSinceMs: null };
    this.#sent.set(team, sent);
    return sent;
  }

  #note(entry: LedgerEntry): void {
    this.#touched.delete(entry.team);
    this.#sent.set(entry.team, {
      value: own(entry),
      waiting: entry.waiting,
      differsSinceMs: null,
    });
  }

  #forget(team: string): void {
    this.#touched.delete(team);
    this.#sent.delete(team);
  }
}

/** Levels are left out: each process raises a team to its floor by itself. */
function own({ charged, refunded }: LedgerEntry): number {
  return charged - refunded;
}
