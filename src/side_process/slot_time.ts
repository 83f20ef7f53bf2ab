/** Slot time by state; shows why slots were not in use. */

import type { Clock } from "../common/clock.ts";

/** State of a slot. */
export type SlotState = "running" | "granted" | "paused" | "idle";

/** Every slot state. */
export const SLOT_STATES: readonly SlotState[] = [
  "running",
  "granted",
  "paused",
  "idle",
];

/** Numbers of slots in use at one moment. */
export interface SlotUse {
  readonly running: number;
  /** Grants that no router has used or returned. */
  readonly granted: number;
  /** Whether no run may start: server down, or this process leaving. */
  readonly paused: boolean;
}

/** Sums slot time by state. */
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

  /** Records a change in the use of slots. */
  record(use: SlotUse): void {
    this.#accumulate();
    this.#use = use;
  }

  /** Returns the slot time spent in a state so far, in seconds. */
  seconds(state: SlotState): number {
    this.#accumulate();
    return this.#spentMs[state] / 1_000;
  }

  #accumulate(): void {
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
