/**
 * What is known of crashes of backend servers: which requests ran, which parts
 * their prompts had, and which of these have had a sound response since.
 *
 * A request (by its fingerprint) or a prompt part that ran in a crash is a
 * suspect. A sound response clears a suspect of all crashes so far and of those
 * in the following seconds. Reports are idempotent and may come in any order.
 * The cost of a report depends on its length, not on what is stored.
 */

import type { Clock } from "../common/clock.ts";
import { fnv1a, mix } from "../common/text_hash.ts";
import type {
  CrashDigest,
  CrashReport,
  SoundReport,
  SuspectRequest,
} from "../protocol/mod.ts";
import { CAUSE_CRASHES } from "./crash_attribution.ts";
import {
  type CrashNews,
  CrashRecord,
  partSuspect,
  type StoredCrash,
  type SuspectGroup,
  suspectsOf,
} from "./crash_record.ts";
import { MultiMap } from "./multimap.ts";
import { SoundSuspects } from "./sound_suspects.ts";

/** Age at which a crash is dropped: three times the longest refusal. */
const CRASH_MAX_AGE_MS = 30 * 60_000;
/** Stored crashes, the oldest dropped first: half an hour at one per 7 s. */
const CRASHES_LIMIT = 256;

/**
 * Suspects and clearances of all crashes, the oldest crash dropped first: eight
 * crashes of the largest, or 59 under a prompt of 1,100 parts.
 */
const ENTRIES_LIMIT = 65_536;
/** Dropped crashes that are remembered, so that they aren't stored again. */
const DROPPED_LIMIT = 4 * CRASHES_LIMIT;

/** Bounded store of crashes; the same in routers and admission processes. */
export class CrashEvidence {
  readonly #clock: Clock;
  readonly #records = new Map<string, CrashRecord>();
  readonly #recordsBySuspect = new MultiMap<CrashRecord>();
  /** Crashes for which there was no room. */
  readonly #dropped = new Set<string>();
  /** Those suspects that ran in enough crashes to be their cause. */
  readonly #candidates = new Map<string, ReadonlySet<StoredCrash>>();
  readonly #sound: SoundSuspects;
  #candidatesVersion = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#sound = new SoundSuspects(clock);
  }

  /** Changes whenever the candidates or the crashes in which they ran do. */
  get candidatesVersion(): number {
    return this.#candidatesVersion;
  }

  /** Crashes by suspect, for those that may be the cause of some. */
  get candidates(): ReadonlyMap<string, ReadonlySet<StoredCrash>> {
    return this.#candidates;
  }

  /** All suspects. */
  get suspects(): ReadonlySet<string> {
    return new Set(this.#recordsBySuspect.keys());
  }

  /** Number of suspects. */
  get suspectCount(): number {
    return this.#recordsBySuspect.size;
  }

  /** The same number in processes that hold the same evidence. */
  get summary(): number {
    let sum = 0;
    for (const [crash, digest] of this.digests)
      sum = (sum + mix(fnv1a(crash, digest))) >>> 0;
    return sum;
  }

  /** Digests of the crashes that have suspects. */
  get digests(): CrashDigest[] {
    return [...this.#records.values()]
      .filter(({ isOpen }) => isOpen)
      .map(({ digest }) => digest);
  }

  /** Whether another process may know more of a crash. */
  isBehind(digest: CrashDigest): boolean {
    const [crash] = digest;
    const record = this.#records.get(crash);
    if (record !== undefined) return record.isBehind(digest);
    return !this.#dropped.has(crash) && this.#records.size < CRASHES_LIMIT;
  }

  /** Adds what another process reports; returns the part that is new. */
  add(report: CrashReport | SoundReport): CrashReport | SoundReport | null {
    switch (report.type) {
      case "crash-report": {
        const { requests, cleared } = this.#addReport(report);
        if (requests.length + cleared.length === 0) return null;
        return { ...report, requests, cleared };
      }
      case "sound-report": {
        const suspects = this.addSound(report.suspects, report);
        return suspects.length > 0 ? { ...report, suspects } : null;
      }
      default:
        return report satisfies never;
    }
  }

  #addReport(report: Omit<CrashReport, "type">): CrashNews {
    const news: CrashNews = { requests: [], cleared: [] };
    if (report.ageMs > CRASH_MAX_AGE_MS || this.#dropped.has(report.crash))
      return news;
    const record = this.#recordOf(report);
    for (const suspect of report.cleared) this.#clear(record, suspect, news);
    for (const request of report.requests) {
      const [fingerprint] = request;
      const suspects = suspectsOf(request);
      for (const suspect of suspects)
        if (this.#sound.covers(suspect, record.atMs))
          this.#clear(record, suspect, news);
      const added = record.addSuspects(fingerprint, suspects);
      for (const suspect of added) this.#index(record, suspect);
      if (added.length > 0) news.requests.push(packed(fingerprint, added));
    }
    this.#makeRoom();
    return news;
  }

  #recordOf({ crash, ageMs }: Omit<CrashReport, "type">): CrashRecord {
    const known = this.#records.get(crash);
    if (known !== undefined) return known;
    const record = new CrashRecord(crash, this.#clock.monotonicMs() - ageMs);
    this.#records.set(crash, record);
    return record;
  }

  #makeRoom(): void {
    const oldestFirst = [...this.#records.values()].sort(
      (a, b) => a.atMs - b.atMs,
    );
    let entries = oldestFirst.reduce((sum, { size }) => sum + size, 0);
    for (const record of oldestFirst) {
      const isOver =
        entries > ENTRIES_LIMIT || this.#records.size > CRASHES_LIMIT;
      if (!isOver || this.#records.size === 1) return;
      entries -= record.size;
      this.#drop(record);
      this.#noteDropped(record.id);
    }
  }

  #noteDropped(crash: string): void {
    this.#dropped.add(crash);
    const [oldest] = this.#dropped;
    if (this.#dropped.size > DROPPED_LIMIT && oldest !== undefined)
      this.#dropped.delete(oldest);
  }

  #clear(record: CrashRecord, suspect: string, news: CrashNews): void {
    const isIndexed = record.hasSuspect(suspect);
    if (!record.clear(suspect)) return;
    news.cleared.push(suspect);
    if (isIndexed) this.#removeFromIndex(record, suspect);
  }

  #index(record: CrashRecord, suspect: string): void {
    const count = this.#recordsBySuspect.add(suspect, record);
    const records = this.#recordsBySuspect.setOf(suspect);
    if (count < CAUSE_CRASHES || records === null) return;
    this.#candidates.set(suspect, records);
    this.#candidatesVersion += 1;
  }

  #removeFromIndex(record: CrashRecord, suspect: string): void {
    const left = this.#recordsBySuspect.remove(suspect, record);
    if (!this.#candidates.has(suspect)) return;
    this.#candidatesVersion += 1;
    if (left < CAUSE_CRASHES) this.#candidates.delete(suspect);
  }

  /**
   * Records sound responses; returns the suspects that they clear.
   *
   * @param options.ageMs time since the responses
   */
  addSound(
    suspects: readonly string[],
    { ageMs = 0 }: { readonly ageMs?: number } = {},
  ): string[] {
    const atMs = this.#clock.monotonicMs() - ageMs;
    const news: CrashNews = { requests: [], cleared: [] };
    for (const suspect of suspects) {
      this.#sound.add(suspect, atMs);
      for (const record of this.#recordsBySuspect.valuesOf(suspect))
        if (this.#sound.covers(suspect, record.atMs))
          this.#clear(record, suspect, news);
    }
    return [...new Set(news.cleared)];
  }

  /** Returns those suspects of a report that are known to be sound. */
  soundAmong({
    ageMs,
    requests,
  }: Pick<CrashReport, "ageMs" | "requests">): SoundReport | null {
    const crashAtMs = this.#clock.monotonicMs() - ageMs;
    const sound = [...new Set(requests.flatMap(suspectsOf))].filter((one) =>
      this.#sound.covers(one, crashAtMs),
    );
    if (sound.length === 0) return null;
    const oldestMs = Math.min(...sound.map((one) => this.#sound.atMs(one)));
    const soundAgeMs = Math.max(0, this.#clock.monotonicMs() - oldestMs);
    return { type: "sound-report", suspects: sound, ageMs: soundAgeMs };
  }

  /** Returns the report of a crash as it is stored; null if it isn't. */
  reportOf(id: string): CrashReport | null {
    const record = this.#records.get(id);
    return record === undefined ? null : this.#reportOf(record);
  }

  #reportOf({ id, atMs, groups, cleared }: CrashRecord): CrashReport {
    const ageMs = Math.max(0, this.#clock.monotonicMs() - atMs);
    const requests = [...groups].map(([fingerprint, group]) =>
      packed(fingerprint, group),
    );
    const type = "crash-report";
    return { type, crash: id, ageMs, requests, cleared: [...cleared] };
  }

  /** Drops old crashes; must be called periodically. */
  sweep(): void {
    const beforeMs = this.#clock.monotonicMs() - CRASH_MAX_AGE_MS;
    for (const record of this.#records.values())
      if (record.atMs < beforeMs) this.#drop(record);
  }

  #drop(record: CrashRecord): void {
    this.#records.delete(record.id);
    for (const suspect of record.suspects)
      this.#removeFromIndex(record, suspect);
  }
}

function packed(fingerprint: string, group: SuspectGroup): SuspectRequest {
  const prefix = partSuspect("");
  const parts = [...group]
    .filter((one) => one.startsWith(prefix))
    .map((one) => one.slice(prefix.length));
  return [fingerprint, parts];
}
