/** What one side process remembers of idempotency keys. */

import type { Clock } from "../../common/clock.ts";
import type { KeyRecord, StoredAnswer } from "../../protocol/mod.ts";

/** How long a key is remembered after it was last changed. */
export const KEY_WINDOW_MS = 10 * 60_000;
/** Reach of a memory that has seen every key of its service. */
export const WHOLE_HISTORY_MS = Number.MAX_SAFE_INTEGER;
/** Bytes of stored answers that are kept. */
const ANSWERS_LIMIT_BYTES = 16 * 1024 * 1024;
/** Keys that are kept; the oldest goes first. */
const KEYS_LIMIT = 50_000;

/** An answer that is not kept. */
export const NO_ANSWER: StoredAnswer = {
  status: 0,
  headers: [],
  body: Buffer.alloc(0),
};

interface Kept {
  record: KeyRecord;
  atMs: number;
}

/** Records by key, the least recently changed first. */
export class KeyMemory {
  readonly #clock: Clock;
  readonly #kept = new Map<string, Kept>();
  #sinceMs: number;
  #answerBytes = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#sinceMs = clock.monotonicMs();
  }

  /** How far back this memory reaches, in milliseconds. */
  get memoryMs(): number {
    const reachMs = this.#clock.monotonicMs() - this.#sinceMs;
    return Math.min(WHOLE_HISTORY_MS, Math.round(reachMs));
  }

  /** Number of keys. */
  get size(): number {
    return this.#kept.size;
  }

  /** Every record. */
  get records(): KeyRecord[] {
    return [...this.#kept.values()].map(({ record }) => record);
  }

  /** Returns what is known of a key, or null. */
  get(key: string): KeyRecord | null {
    const kept = this.#kept.get(key);
    if (kept === undefined) return null;
    const ageMs = this.#clock.monotonicMs() - kept.atMs;
    return ageMs > KEY_WINDOW_MS ? null : kept.record;
  }

  /** Keeps a record; what is known to have ended stays ended. */
  put(record: KeyRecord): void {
    const known = this.get(record.key);
    if (known !== null && outranks(known, record)) return;
    this.#forget(record.key);
    this.#kept.set(record.key, { record, atMs: this.#clock.monotonicMs() });
    this.#answerBytes += record.answer.body.length;
    this.#limit();
  }

  /** Takes over how far back a peer's memory reaches. */
  extend(memoryMs: number): void {
    const sinceMs = this.#clock.monotonicMs() - memoryMs;
    this.#sinceMs = Math.min(this.#sinceMs, sinceMs);
  }

  /** Forgets what is older than the window. */
  sweep(): void {
    const beforeMs = this.#clock.monotonicMs() - KEY_WINDOW_MS;
    for (const [key, { atMs }] of this.#kept) {
      if (atMs >= beforeMs) break;
      this.#forget(key);
    }
  }

  #forget(key: string): void {
    const kept = this.#kept.get(key);
    if (kept === undefined) return;
    this.#answerBytes -= kept.record.answer.body.length;
    this.#kept.delete(key);
  }

  /** Drops old answers before old keys: a key alone prevents a second run. */
  #limit(): void {
    for (const kept of this.#kept.values()) {
      if (this.#answerBytes <= ANSWERS_LIMIT_BYTES) break;
      this.#answerBytes -= kept.record.answer.body.length;
      kept.record = { ...kept.record, answer: NO_ANSWER };
    }
    if (this.#kept.size <= KEYS_LIMIT) return;
    const oldest = this.#kept.keys().next();
    if (oldest.done !== true) this.#forget(oldest.value);
  }
}

/** Of one attempt, an end is newer than its start. */
function outranks(known: KeyRecord, record: KeyRecord): boolean {
  if (known.attempt !== record.attempt) return known.state === "answered";
  return known.state !== "running" && record.state === "running";
}
