/** How slot time was spent, to explain what was idle. */

import type { Clock } from "../common/clock.ts";

/** What a slot can be doing. */
export type SlotState = "running" | "granted" | "paused" | "idle";

/** Every state. */
export const SLOT_STATES: readonly SlotState[] = [
  "running",
  "granted",
  "paused",
  "idle",
];

/** How slots are used at one moment. */
export interface SlotUse {
  readonly running: number;
  /** Grants that no router has answered. */
  readonly granted: number;
  /** Whether no new work starts, as while the server is down. */
  readonly paused: boolean;
}

/** Adds up slot time by state. */
export class SlotTime {
  readonly #clock: Clock;
  readonly #slots: number;
  readonly #spentMs: Record<SlotState, number> = {
    running: 0,
    granted: 0,
    paused: 0,
    idle: 0,
  };
  #use: SlotUse = { running: 0, granted: 0, paused: true };
  #sinceMs: number;

  constructor(clock: Clock, slots: number) {
    this.#clock = clock;
    this.#slots = slots;
    this.#sinceMs = clock.monotonicMs();
  }

  /** Notes that the use of slots has changed. */
  record(use: SlotUse): void {
    this.#advance();
    this.#use = use;
  }

  /** Returns slot time spent in a state so far, in seconds. */
  seconds(state: SlotState): number {
    this.#advance();
    return this.#spentMs[state] / 1_000;
  }

  #advance(): void {
    const nowMs = this.#clock.monotonicMs();
    const passedMs = nowMs - this.#sinceMs;
    this.#sinceMs = nowMs;
    const running = Math.min(this.#slots, this.#use.running);
    const granted = Math.min(this.#slots - running, this.#use.granted);
    const rest = this.#slots - running - granted;
    this.#spentMs.running += running * passedMs;
    this.#spentMs.granted += granted * passedMs;
    this.#spentMs[this.#use.paused ? "paused" : "idle"] += rest * passedMs;
  }
}
