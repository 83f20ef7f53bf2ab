/** What one router knows of servers that are cold. */

import type { Clock } from "../common/clock.ts";
import { type BackendServer, startKeyOf } from "../directory/mod.ts";

type ServerStart = Pick<BackendServer, "id" | "startedAtMs">;

/** Ends of coldness, by start of a server. */
export class ColdServers {
  readonly #clock: Clock;
  readonly #untilMs = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Records that a server is cold; an earlier end is ignored. Returns whether
   * it counted as warm before.
   */
  note(start: ServerStart, remainingMs: number): boolean {
    if (remainingMs <= 0) return false;
    const wasWarm = this.remainingMs(start) === 0;
    const untilMs = this.#clock.monotonicMs() + remainingMs;
    const key = startKeyOf(start);
    this.#untilMs.set(key, Math.max(untilMs, this.#untilMs.get(key) ?? 0));
    return wasWarm;
  }

  /** Time for which a server is cold; 0 if it counts as warm. */
  remainingMs(start: ServerStart): number {
    const key = startKeyOf(start);
    const untilMs = this.#untilMs.get(key);
    if (untilMs === undefined) return 0;
    const remainingMs = untilMs - this.#clock.monotonicMs();
    if (remainingMs > 0) return remainingMs;
    this.#untilMs.delete(key);
    return 0;
  }

  /** Forgets a server that has left. */
  forget(start: ServerStart): void {
    this.#untilMs.delete(startKeyOf(start));
  }
}
