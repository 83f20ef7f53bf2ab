/**
 * One crash: its suspects, and those that a sound response has cleared.
 *
 * Suspects and clearances are only ever added, so two processes that know the
 * same facts hold the same record, in whatever order these came.
 */

import { fnv1a, mix } from "../common/text_hash.ts";
import type { CrashDigest, SuspectRequest } from "../protocol/mod.ts";
import { MultiMap } from "./multimap.ts";

/**
 * Suspects of one crash, which may be parts of prompts as long as their heads
 * allow: seven requests that hadn't begun, with 1,100 parts each.
 */
export const SUSPECTS_LIMIT = 8_192;
/** Cleared suspects that are remembered. */
const CLEARED_LIMIT = SUSPECTS_LIMIT;

/** Suspects of one request that ran in a crash. */
export type SuspectGroup = Iterable<string>;

/** A crash as it is read by the attribution of causes. */
export interface StoredCrash {
  readonly id: string;
  /** Monotonic time. */
  readonly atMs: number;
  /** By fingerprint of the request; without cleared suspects. */
  readonly groups: ReadonlyMap<string, SuspectGroup>;
}

/** Part of a crash report that a record didn't hold before. */
export interface CrashNews {
  readonly requests: SuspectRequest[];
  readonly cleared: string[];
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

/** Bounded record of one crash. */
export class CrashRecord implements StoredCrash {
  readonly id: string;
  readonly atMs: number;
  readonly #groups = new Map<string, Set<string>>();
  /** Fingerprints of the requests that had a suspect. */
  readonly #holders = new MultiMap<string>();
  readonly #cleared = new Set<string>();
  /** Sum of the lengths of all groups. */
  #size = 0;
  #digest: number;

  constructor(id: string, atMs: number) {
    this.id = id;
    this.atMs = atMs;
    this.#digest = digestOf(id);
  }

  get groups(): ReadonlyMap<string, SuspectGroup> {
    return this.#groups;
  }

  /** Entries that are kept. */
  get size(): number {
    return this.#size + this.#cleared.size;
  }

  /** Suspects that no sound response has cleared. */
  get suspects(): Iterable<string> {
    return this.#holders.keys();
  }

  /** Suspects that a sound response has cleared. */
  get cleared(): Iterable<string> {
    return this.#cleared;
  }

  /** Whether a suspect isn't cleared. */
  hasSuspect(suspect: string): boolean {
    return this.#holders.has(suspect);
  }

  /** Whether any suspect isn't cleared. */
  get isOpen(): boolean {
    return this.#size > 0;
  }

  /**
   * The same in processes that hold the same record. What is dropped at a limit
   * depends on the order, so all full records of a crash have one digest.
   */
  get digest(): CrashDigest {
    const isFull =
      this.#size >= SUSPECTS_LIMIT || this.#cleared.size >= CLEARED_LIMIT;
    const digest = isFull ? digestOf(this.id) : this.#digest;
    return [this.id, digest, this.#cleared.size, this.#size];
  }

  /**
   * Whether another process's record may hold more. Of two that differ, the one
   * that is behind adds the other first: then at most one holds more.
   */
  isBehind([, digest, cleared, open]: CrashDigest): boolean {
    const [, own] = this.digest;
    if (digest === own || cleared < this.#cleared.size) return false;
    return cleared > this.#cleared.size || open >= this.#size;
  }

  /** Adds suspects of a request; returns those that are new. */
  addSuspects(fingerprint: string, suspects: readonly string[]): string[] {
    const group = this.#groups.get(fingerprint) ?? new Set();
    const room = Math.max(0, SUSPECTS_LIMIT - this.#size);
    const added = [...new Set(suspects)]
      .filter((one) => !group.has(one) && !this.#cleared.has(one))
      .slice(0, room);
    if (added.length === 0) return added;
    this.#groups.set(fingerprint, group);
    this.#size += added.length;
    for (const suspect of added) {
      group.add(suspect);
      this.#holders.add(suspect, fingerprint);
      this.#addToDigest(holdingOf(fingerprint, suspect));
    }
    return added;
  }

  /** Clears a suspect, also for later reports; returns whether that is new. */
  clear(suspect: string): boolean {
    if (this.#cleared.has(suspect)) return false;
    if (this.#cleared.size < CLEARED_LIMIT) {
      this.#cleared.add(suspect);
      this.#addToDigest(clearanceOf(suspect));
    } else if (!this.#holders.has(suspect)) return false;
    for (const fingerprint of this.#holders.valuesOf(suspect))
      this.#removeFromGroup(fingerprint, suspect);
    this.#holders.delete(suspect);
    return true;
  }

  #removeFromGroup(fingerprint: string, suspect: string): void {
    const group = this.#groups.get(fingerprint);
    group?.delete(suspect);
    if (group?.size === 0) this.#groups.delete(fingerprint);
    this.#size -= 1;
    this.#addToDigest(-holdingOf(fingerprint, suspect));
  }

  #addToDigest(addend: number): void {
    this.#digest = (this.#digest + addend) >>> 0;
  }
}

function holdingOf(fingerprint: string, suspect: string): number {
  return digestOf(`${fingerprint} ${suspect}`);
}

function clearanceOf(suspect: string): number {
  return digestOf(`cleared ${suspect}`);
}

function digestOf(text: string): number {
  return mix(fnv1a(text));
}
