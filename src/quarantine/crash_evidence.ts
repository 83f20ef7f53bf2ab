/**
 * What is known of crashes of backend servers: which requests ran, which parts
 * their prompts had, and which of these have had a sound response since.
 *
 * A request (by its fingerprint) or a prompt part that ran in a crash is a
 * suspect. A sound response clears a suspect of all crashes so far and of those
 * in the following seconds. Reports are idempotent and may come in any order.
 */

import type { Clock } from "../common/clock.ts";
import type {
  CrashReport,
  SoundReport,
  SuspectRequest,
} from "../protocol/mod.ts";
import { SoundSuspects } from "./sound_suspects.ts";

/** Age at which a crash is dropped: three times the longest refusal. */
const CRASH_MAX_AGE_MS = 30 * 60_000;
/** Stored crashes, the oldest dropped first: half an hour at one per 7 s. */
const CRASHES_LIMIT = 256;
/** Suspects of one crash: all slots of a large engine, three parts each. */
const SUSPECTS_PER_CRASH_LIMIT = 256;

/** Suspects of one request that ran in a crash. */
export type SuspectGroup = readonly string[];

/** A crash and the suspects that no sound response has cleared. */
export interface StoredCrash {
  readonly id: string;
  /** Monotonic time. */
  readonly atMs: number;
  /** By fingerprint of the request. */
  readonly groups: Map<string, SuspectGroup>;
}

/** Returns the suspect that a whole request is. */
export function requestSuspect(fingerprint: string): string {
  return `request ${fingerprint}`;
}

/** Returns the suspect that a prompt part is. */
export function partSuspect(part: string): string {
  return `part ${part}`;
}

/** Returns the suspects that a request and its prompt parts are. */
export function suspectsOf([fingerprint, parts]: SuspectRequest): string[] {
  return [requestSuspect(fingerprint), ...parts.map(partSuspect)];
}

/** Bounded store of crashes; the same in routers and admission processes. */
export class CrashEvidence {
  readonly #clock: Clock;
  readonly #crashes = new Map<string, StoredCrash>();
  readonly #sound: SoundSuspects;
  #version = 0;
  #suspects: ReadonlySet<string> = new Set();
  #suspectsVersion = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#sound = new SoundSuspects(clock);
  }

  /** Changes whenever the crashes or their suspects do. */
  get version(): number {
    return this.#version;
  }

  /** Crashes from the oldest to the newest report. */
  get crashes(): Iterable<StoredCrash> {
    return this.#crashes.values();
  }

  /** All suspects. */
  get suspects(): ReadonlySet<string> {
    if (this.#suspectsVersion === this.#version) return this.#suspects;
    this.#suspectsVersion = this.#version;
    this.#suspects = new Set(
      [...this.#crashes.values()].flatMap(({ groups }) =>
        [...groups.values()].flat(),
      ),
    );
    return this.#suspects;
  }

  /** Adds what another process reports; returns whether it says anything new. */
  add(report: CrashReport | SoundReport): boolean {
    switch (report.type) {
      case "crash-report":
        return this.addCrash(report);
      case "sound-report":
        return this.addSound(report.suspects, report).length > 0;
      default:
        return report satisfies never;
    }
  }

  /** Adds a crash; returns whether it says anything new. */
  addCrash({ crash, ageMs, requests }: Omit<CrashReport, "type">): boolean {
    const known = this.#crashes.get(crash);
    const atMs = known?.atMs ?? this.#clock.monotonicMs() - ageMs;
    const stored = known ?? { id: crash, atMs, groups: new Map() };
    let isNew = known === undefined;
    for (const request of requests) {
      if (this.#addRequest(stored, request)) isNew = true;
    }
    this.#crashes.set(crash, stored);
    if (isNew) this.#version += 1;
    const oldest = this.#crashes.keys().next();
    if (this.#crashes.size > CRASHES_LIMIT && oldest.done !== true)
      this.#crashes.delete(oldest.value);
    return isNew;
  }

  #addRequest({ atMs, groups }: StoredCrash, request: SuspectRequest): boolean {
    const [fingerprint] = request;
    const known = groups.get(fingerprint) ?? [];
    const added = suspectsOf(request).filter(
      (one) => !known.includes(one) && !this.#sound.covers(one, atMs),
    );
    const room = SUSPECTS_PER_CRASH_LIMIT - [...groups.values()].flat().length;
    if (added.length === 0 || room <= 0) return false;
    groups.set(fingerprint, [...known, ...added.slice(0, room)]);
    return true;
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
    const cleared = new Set<string>();
    for (const suspect of suspects) this.#sound.add(suspect, atMs);
    if (!suspects.some((one) => this.suspects.has(one))) return [];
    for (const crash of this.#crashes.values())
      for (const suspect of this.#clear(crash, suspects)) cleared.add(suspect);
    if (cleared.size > 0) this.#version += 1;
    return [...cleared];
  }

  #clear({ atMs, groups }: StoredCrash, suspects: readonly string[]): string[] {
    const cleared: string[] = [];
    for (const [fingerprint, group] of groups) {
      const covered = group.filter(
        (one) => suspects.includes(one) && this.#sound.covers(one, atMs),
      );
      if (covered.length === 0) continue;
      cleared.push(...covered);
      const left = group.filter((one) => !covered.includes(one));
      if (left.length > 0) groups.set(fingerprint, left);
      else groups.delete(fingerprint);
    }
    return cleared;
  }

  /** Returns those suspects of a report that are known to be sound. */
  soundAmong({
    ageMs,
    requests,
  }: Omit<CrashReport, "type">): SoundReport | null {
    const crashAtMs = this.#clock.monotonicMs() - ageMs;
    const sound = [...new Set(requests.flatMap(suspectsOf))].filter((one) =>
      this.#sound.covers(one, crashAtMs),
    );
    if (sound.length === 0) return null;
    const oldestMs = Math.min(...sound.map((one) => this.#sound.atMs(one)));
    const soundAgeMs = Math.max(0, this.#clock.monotonicMs() - oldestMs);
    return { type: "sound-report", suspects: sound, ageMs: soundAgeMs };
  }

  /** Returns a report of each crash, to send them to a new peer. */
  reports(): CrashReport[] {
    return [...this.#crashes.values()]
      .filter(({ groups }) => groups.size > 0)
      .map((crash) => this.#reportOf(crash));
  }

  /** Returns the report of a crash as it is stored; null if it has no suspect. */
  reportOf(id: string): CrashReport | null {
    const crash = this.#crashes.get(id);
    if (crash === undefined || crash.groups.size === 0) return null;
    return this.#reportOf(crash);
  }

  #reportOf({ id, atMs, groups }: StoredCrash): CrashReport {
    const ageMs = Math.max(0, this.#clock.monotonicMs() - atMs);
    const requests = [...groups].map(([fingerprint, group]) =>
      packed(fingerprint, group),
    );
    return { type: "crash-report", crash: id, ageMs, requests };
  }

  /** Drops old crashes; must be called periodically. */
  sweep(): void {
    const beforeMs = this.#clock.monotonicMs() - CRASH_MAX_AGE_MS;
    for (const [id, { atMs }] of this.#crashes) {
      if (atMs >= beforeMs) continue;
      this.#crashes.delete(id);
      this.#version += 1;
    }
  }
}

function packed(fingerprint: string, group: SuspectGroup): SuspectRequest {
  const prefix = partSuspect("");
  const parts = group
    .filter((one) => one.startsWith(prefix))
    .map((one) => one.slice(prefix.length));
  return [fingerprint, parts];
}
