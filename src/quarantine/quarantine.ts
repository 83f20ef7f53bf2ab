/**
 * Finds and refuses requests that crash backend servers.
 *
 * A crash gives a strike to every request that was running on the server. A
 * request with a strike is a suspect. Two suspects never run on one server at
 * the same time, so that a further crash shows which of them causes crashes. A
 * request is refused from its second strike on.
 */

import { createHash } from "node:crypto";
import type { Clock } from "../common/clock.ts";
import type { RunRequest, Strike } from "../protocol/mod.ts";

/** Strikes at which a request is refused. */
const STRIKES_LIMIT = 2;
/** Time after which a strike expires. */
const STRIKE_MS = 10 * 60_000;
/** Largest number of stored crashes; the oldest is dropped first. */
const CRASHES_LIMIT = 1_000;

interface Crash {
  readonly fingerprints: readonly string[];
  readonly atMs: number;
}

/** `innocent`: no strike; `suspect`: some; `refused`: at the limit. */
export type Trust = "innocent" | "suspect" | "refused";

/** Strikes by fingerprint, shared between side processes. */
export class Quarantine {
  readonly #clock: Clock;
  readonly #crashesById = new Map<string, Crash>();
  readonly #crashIdsByFingerprint = new Map<string, Set<string>>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Number of fingerprints with a strike. */
  get size(): number {
    return this.#crashIdsByFingerprint.size;
  }

  /** Returns whether a fingerprint has no strike, some, or too many. */
  trust(fingerprint: string): Trust {
    const strikes = this.#crashIdsByFingerprint.get(fingerprint)?.size ?? 0;
    if (strikes === 0) return "innocent";
    return strikes < STRIKES_LIMIT ? "suspect" : "refused";
  }

  /** Milliseconds until the oldest strike of a refused request expires. */
  retryAfterMs(fingerprint: string): number {
    const crashIds =
      this.#crashIdsByFingerprint.get(fingerprint) ?? new Set<string>();
    const timesMs = [...crashIds].map(
      (id) => this.#crashesById.get(id)?.atMs ?? 0,
    );
    const oldestMs = Math.min(...timesMs);
    return Math.max(0, oldestMs + STRIKE_MS - this.#clock.monotonicMs());
  }

  /** Adds strikes for a crash; repeated reports of it count once. */
  strike({ crash, fingerprints }: Omit<Strike, "type">): void {
    const known = this.#crashesById.get(crash);
    const atMs = known?.atMs ?? this.#clock.monotonicMs();
    const all = new Set([...(known?.fingerprints ?? []), ...fingerprints]);
    this.#crashesById.set(crash, { fingerprints: [...all], atMs });
    for (const fingerprint of fingerprints) {
      const strikes = this.#crashIdsByFingerprint.get(fingerprint) ?? new Set();
      strikes.add(crash);
      this.#crashIdsByFingerprint.set(fingerprint, strikes);
    }
    if (this.#crashesById.size <= CRASHES_LIMIT) return;
    const oldest = this.#crashesById.keys().next();
    if (oldest.done !== true) this.#removeCrash(oldest.value);
  }

  /** Removes the strikes of a suspect whose run ended without a crash. */
  clear(fingerprint: string): void {
    if (this.trust(fingerprint) === "suspect") {
      this.#crashIdsByFingerprint.delete(fingerprint);
    }
  }

  /** Returns all strikes, to send them to a new peer. */
  strikes(): Strike[] {
    return [...this.#crashesById].map(([crash, { fingerprints }]) => ({
      type: "strike",
      crash,
      fingerprints: fingerprints.filter((one) =>
        this.#crashIdsByFingerprint.has(one),
      ),
    }));
  }

  /** Removes expired strikes; must be called periodically. */
  sweep(): void {
    const beforeMs = this.#clock.monotonicMs() - STRIKE_MS;
    for (const [id, { atMs }] of this.#crashesById) {
      if (atMs >= beforeMs) break;
      this.#removeCrash(id);
    }
  }

  #removeCrash(id: string): void {
    const crash = this.#crashesById.get(id);
    this.#crashesById.delete(id);
    for (const fingerprint of crash?.fingerprints ?? []) {
      const strikes = this.#crashIdsByFingerprint.get(fingerprint);
      strikes?.delete(id);
      if (strikes?.size === 0) this.#crashIdsByFingerprint.delete(fingerprint);
    }
  }
}

/** Returns a hash of team, path and body; the retries of a request share it. */
export function fingerprintOf({
  team,
  path,
  body,
}: Pick<RunRequest, "team" | "path" | "body">): string {
  const digest = createHash("sha256").update(`${team}\n${path}\n`);
  return digest.update(body).digest("base64url").slice(0, 22);
}
