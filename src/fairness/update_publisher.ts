/** Selects the ledger entries that are due to be sent to peers. */

import type { Clock } from "../common/clock.ts";
import type { Ledger } from "./ledger.ts";
import type { LedgerEntry } from "./ledger_entry.ts";

/** A change of `waiting` alone is sent only after it has lasted this long. */
const WAITING_DEBOUNCE_MS = 500;

interface SentState {
  netCharge: number;
  waiting: boolean;
  /** Time since which `waiting` differs from what was sent, else null. */
  waitingDiffersSinceMs: number | null;
}

/** Tracks what was sent of each team, to send only what has changed. */
export class UpdatePublisher {
  readonly #ledger: Ledger;
  readonly #clock: Clock;
  readonly #changedTeams = new Set<string>();
  readonly #sentByTeam = new Map<string, SentState>();

  constructor(ledger: Ledger, clock: Clock) {
    this.#ledger = ledger;
    this.#clock = clock;
  }

  /** Marks a team that was charged here, or began or ceased to wait here. */
  markChanged(team: string): void {
    this.#changedTeams.add(team);
  }

  /**
   * Returns the entries to send now, and records them as sent: those whose
   * net charge has changed by `minChange` or more, and those whose `waiting`
   * has changed for long enough.
   *
   * @param minChange smallest change to send, in normalised service
   */
  takeDue(minChange: number): LedgerEntry[] {
    const due: LedgerEntry[] = [];
    for (const team of this.#changedTeams) {
      const entry = this.#ledger.entry(team);
      if (entry === null) this.#forget(team);
      else if (this.#isDue(entry, minChange)) {
        due.push(entry);
        this.#recordSent(entry);
      }
    }
    return due;
  }

  /** Removes teams that the ledger no longer holds. */
  collect(): void {
    for (const team of this.#sentByTeam.keys()) {
      if (this.#ledger.entry(team) === null) this.#forget(team);
    }
  }

  #isDue(entry: LedgerEntry, minChange: number): boolean {
    const sent = this.#getOrCreateSent(entry);
    const change = Math.abs(netChargeOf(entry) - sent.netCharge);
    if (change >= minChange) return true;
    if (sent.waiting === entry.waiting) {
      sent.waitingDiffersSinceMs = null;
      if (change === 0) this.#changedTeams.delete(entry.team);
      return false;
    }
    const nowMs = this.#clock.monotonicMs();
    sent.waitingDiffersSinceMs ??= nowMs;
    return nowMs - sent.waitingDiffersSinceMs >= WAITING_DEBOUNCE_MS;
  }

  #getOrCreateSent({ team }: LedgerEntry): SentState {
    const known = this.#sentByTeam.get(team);
    if (known !== undefined) return known;
    const sent = { netCharge: 0, waiting: false, waitingDiffersSinceMs: null };
    this.#sentByTeam.set(team, sent);
    return sent;
  }

  #recordSent(entry: LedgerEntry): void {
    this.#changedTeams.delete(entry.team);
    this.#sentByTeam.set(entry.team, {
      netCharge: netChargeOf(entry),
      waiting: entry.waiting,
      waitingDiffersSinceMs: null,
    });
  }

  #forget(team: string): void {
    this.#changedTeams.delete(team);
    this.#sentByTeam.delete(team);
  }
}

/** Without the level, since each process raises a team to its own floor. */
function netChargeOf({ charged, refunded }: LedgerEntry): number {
  return charged - refunded;
}
