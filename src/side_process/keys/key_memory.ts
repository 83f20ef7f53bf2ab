/** Records of idempotency keys that one side process holds in memory. */

import type { Clock } from "../../common/clock.ts";
import type { KeyRecord, StoredResponse } from "../../protocol/mod.ts";

/** Time for which a key's record is kept after its last change. */
export const KEY_WINDOW_MS = 10 * 60_000;
/** Age of a memory that has seen every key of its service. */
export const WHOLE_HISTORY_MS = Number.MAX_SAFE_INTEGER;
/** Total size of the stored responses' bodies. */
const RESPONSES_LIMIT_BYTES = 16 * 1024 * 1024;
/** Number of records; the least recently changed is dropped first. */
const KEYS_LIMIT = 50_000;

/** Stands for a response that is not stored. */
export const NO_RESPONSE: StoredResponse = {
  status: 0,
  headers: [],
  body: Buffer.alloc(0),
};

interface Entry {
  record: KeyRecord;
  changedAtMs: number;
}

/** Records by key, ordered by their last change, the oldest first. */
export class KeyMemory {
  readonly #clock: Clock;
  readonly #entries = new Map<string, Entry>();
  /** Monotonic time at which this memory, or one handed over to it, began. */
  #sinceMs: number;
  #responseBytes = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#sinceMs = clock.monotonicMs();
  }

  /** Age of this memory, or of an older one handed over to it, in ms. */
  get memoryMs(): number {
    const ageMs = this.#clock.monotonicMs() - this.#sinceMs;
    return Math.min(WHOLE_HISTORY_MS, Math.round(ageMs));
  }

  /** Number of records. */
  get size(): number {
    return this.#entries.size;
  }

  /** Every record. */
  get records(): KeyRecord[] {
    return [...this.#entries.values()].map(({ record }) => record);
  }

  /** Returns the record of a key; null if there is none within the window. */
  get(key: string): KeyRecord | null {
    const entry = this.#entries.get(key);
    if (entry === undefined) return null;
    const ageMs = this.#clock.monotonicMs() - entry.changedAtMs;
    return ageMs > KEY_WINDOW_MS ? null : entry.record;
  }

  /** Stores a record, unless the known one has precedence over it. */
  put(record: KeyRecord): void {
    const known = this.get(record.key);
    if (known !== null && hasPrecedence(known, record)) return;
    this.#remove(record.key);
    this.#entries.set(record.key, {
      record,
      changedAtMs: this.#clock.monotonicMs(),
    });
    this.#responseBytes += record.answer.body.length;
    this.#enforceLimits();
  }

  /** Extends the age to that of a memory that was handed over completely. */
  extendAge(memoryMs: number): void {
    const sinceMs = this.#clock.monotonicMs() - memoryMs;
    this.#sinceMs = Math.min(this.#sinceMs, sinceMs);
  }

  /** Removes records that are older than the key window. */
  sweep(): void {
    const beforeMs = this.#clock.monotonicMs() - KEY_WINDOW_MS;
    for (const [key, { changedAtMs }] of this.#entries) {
      if (changedAtMs >= beforeMs) break;
      this.#remove(key);
    }
  }

  #remove(key: string): void {
    const entry = this.#entries.get(key);
    if (entry === undefined) return;
    this.#responseBytes -= entry.record.answer.body.length;
    this.#entries.delete(key);
  }

  /**
   * Drops the oldest responses, then the oldest record. Responses go first,
   * because a record without its response still prevents a second run.
   */
  #enforceLimits(): void {
    for (const entry of this.#entries.values()) {
      if (this.#responseBytes <= RESPONSES_LIMIT_BYTES) break;
      this.#responseBytes -= entry.record.answer.body.length;
      entry.record = { ...entry.record, answer: NO_RESPONSE };
    }
    if (this.#entries.size <= KEYS_LIMIT) return;
    const oldest = this.#entries.keys().next();
    if (oldest.done !== true) this.#remove(oldest.value);
  }
}

/**
 * Whether a known record has precedence. Records may arrive out of order: for
 * one attempt, any other state is newer than "running". An answered attempt
 * has precedence over every other attempt of the key.
 */
function hasPrecedence(known: KeyRecord, record: KeyRecord): boolean {
  if (known.attempt !== record.attempt) return known.state === "answered";
  return known.state !== "running" && record.state === "running";
}
