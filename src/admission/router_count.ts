/** How many routers there are, and how many of them ask for permits here. */

import type { Clock } from "../common/clock.ts";

/** Time after which a router that was lost isn't expected back. */
const MEMORY_MS = 60_000;

/** Numbers of routers. */
export interface Routers {
  /** Those that are connected to the admission controller. */
  readonly connected: number;
  /** All of the fleet, as far as is known. */
  readonly known: number;
}

/** Routers of the fleet, as one admission controller knows them. */
export class RouterCount {
  readonly #clock: Clock;
  readonly #connected = new Map<string, number>();
  /** When routers were lost, by instance. */
  readonly #lostAtMs = new Map<string, number>();
  #hinted = 0;
  #hintedAtMs = Number.NEGATIVE_INFINITY;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Adds a connection of a router. */
  add(instance: string): void {
    this.#connected.set(instance, (this.#connected.get(instance) ?? 0) + 1);
    this.#lostAtMs.delete(instance);
  }

  /** Removes a connection of a router. */
  remove(instance: string): void {
    const left = (this.#connected.get(instance) ?? 0) - 1;
    if (left > 0) {
      this.#connected.set(instance, left);
      return;
    }
    this.#connected.delete(instance);
    this.#lostAtMs.set(instance, this.#clock.monotonicMs());
  }

  /** Records how many routers a router knows of. */
  noteHint(routers: number): void {
    const nowMs = this.#clock.monotonicMs();
    const isOld = nowMs - this.#hintedAtMs > MEMORY_MS;
    if (!isOld && routers < this.#hinted) return;
    this.#hinted = routers;
    this.#hintedAtMs = nowMs;
  }

  /** The numbers now. */
  get current(): Routers {
    const sinceMs = this.#clock.monotonicMs() - MEMORY_MS;
    for (const [instance, lostAtMs] of this.#lostAtMs)
      if (lostAtMs <= sinceMs) this.#lostAtMs.delete(instance);
    const connected = this.#connected.size;
    const hinted = this.#hintedAtMs > sinceMs ? this.#hinted : 0;
    const known = Math.max(connected + this.#lostAtMs.size, hinted);
    return { connected, known };
  }
}
