/** Remembers how streams began, for a limited time. */

import type { Clock } from "../common/clock.ts";
import type { OriginRecord } from "./stream_origin.ts";

/**
 * Time for which the beginning of a stream is remembered: several times the
 * longest time limit of a request, within which its caller comes back.
 */
export const ORIGIN_LIFETIME_MS = 60_000;
/** Streams that are remembered; a record takes some 200 bytes. */
const CAPACITY = 50_000;

interface Entry {
  readonly record: OriginRecord;
  readonly notedAtMs: number;
}

/** Records by request id, the oldest first. */
export class OriginMemory {
  readonly #clock: Clock;
  readonly #entries = new Map<string, Entry>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Number of records. */
  get size(): number {
    return this.#entries.size;
  }

  /** Stores or replaces the record of a request. */
  note(request: string, record: OriginRecord): void {
    this.#entries.delete(request);
    const notedAtMs = this.#clock.monotonicMs();
    this.#entries.set(request, { record, notedAtMs });
    this.#evict();
  }

  /** Returns the record of a request; null if nothing is known. */
  find(request: string): OriginRecord | null {
    this.#evict();
    return this.#entries.get(request)?.record ?? null;
  }

  #evict(): void {
    const oldestMs = this.#clock.monotonicMs() - ORIGIN_LIFETIME_MS;
    for (const [request, { notedAtMs }] of this.#entries) {
      if (notedAtMs >= oldestMs && this.#entries.size <= CAPACITY) return;
      this.#entries.delete(request);
    }
  }
}
