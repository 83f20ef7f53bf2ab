/**
 * Requests that crash backend servers.
 *
 * Each crash gives a strike to every request that then ran there. A request
 * with a strike is a suspect: it runs beside no other suspect, so that its
 * next crash tells for sure. At the second strike it is refused.
 */

import { createHash } from "node:crypto";
import type { Clock } from "../common/clock.ts";
import type { Run, Strike } from "../protocol/mod.ts";

/** Strikes at which a request is refused. */
const STRIKES_LIMIT = 2;
/** How long a strike counts. */
const STRIKE_MS = 10 * 60_000;
/** Crashes that are remembered; the oldest goes first. */
const CRASHES_LIMIT = 1_000;

interface Crash {
  readonly fingerprints: readonly string[];
  readonly atMs: number;
}

/** How far a request is trusted. */
export type Trust = "innocent" | "suspect" | "refused";

/** Strikes by fingerprint, shared between side processes. */
export class Quarantine {
  readonly #clock: Clock;
  readonly #strikesLimit: number;
  readonly #crashes = new Map<string, Crash>();
  readonly #strikes = new Map<string, Set<string>>();

  /** @param options.strikesLimit strikes at which a request is refused */
  constructor(
    clock: Clock,
    { strikesLimit = STRIKES_LIMIT }: { readonly strikesLimit?: number } = {},
  ) {
    this.#clock = clock;
    this.#strikesLimit = strikesLimit;
  }

  /** Number of fingerprints with a strike. */
  get size(): number {
    return this.#strikes.size;
  }

  /** Returns how far a request is trusted. */
  trust(fingerprint: string): Trust {
    const strikes = this.#strikes.get(fingerprint)?.size ?? 0;
    if (strikes === 0) return "innocent";
    return strikes < this.#strikesLimit ? "suspect" : "refused";
  }

  /** Milliseconds until a refused request is trusted again. */
  retryAfterMs(fingerprint: string): number {
    const crashes = this.#strikes.get(fingerprint) ?? new Set<string>();
    const times = [...crashes].map(
      (name) => this.#crashes.get(name)?.atMs ?? 0,
    );
    const oldestMs = Math.min(...times);
    return Math.max(0, oldestMs + STRIKE_MS - this.#clock.monotonicMs());
  }

  /** Notes who ran in a crash; each request is struck once by it. */
  strike({ crash, fingerprints }: Omit<Strike, "type">): void {
    const known = this.#crashes.get(crash);
    const atMs = known?.atMs ?? this.#clock.monotonicMs();
    const all = new Set([...(known?.fingerprints ?? []), ...fingerprints]);
    this.#crashes.set(crash, { fingerprints: [...all], atMs });
    for (const fingerprint of fingerprints) {
      const strikes = this.#strikes.get(fingerprint) ?? new Set();
      strikes.add(crash);
      this.#strikes.set(fingerprint, strikes);
    }
    if (this.#crashes.size <= CRASHES_LIMIT) return;
    const oldest = this.#crashes.keys().next();
    if (oldest.done !== true) this.#removeCrash(oldest.value);
  }

  /** Takes the strikes off a suspect that ended without a crash. */
  clear(fingerprint: string): void {
    if (this.trust(fingerprint) === "suspect") {
      this.#strikes.delete(fingerprint);
    }
  }

  /** Returns every strike, for a new peer. */
  strikes(): Strike[] {
    return [...this.#crashes].map(([crash, { fingerprints }]) => ({
      type: "strike",
      crash,
      fingerprints: fingerprints.filter((one) => this.#strikes.has(one)),
    }));
  }

  /** Forgets strikes that no longer count. */
  sweep(): void {
    const beforeMs = this.#clock.monotonicMs() - STRIKE_MS;
    for (const [name, { atMs }] of this.#crashes) {
      if (atMs >= beforeMs) break;
      this.#removeCrash(name);
    }
  }

  #removeCrash(name: string): void {
    const crash = this.#crashes.get(name);
    this.#crashes.delete(name);
    for (const fingerprint of crash?.fingerprints ?? []) {
      const strikes = this.#strikes.get(fingerprint);
      strikes?.delete(name);
      if (strikes?.size === 0) this.#strikes.delete(fingerprint);
    }
  }
}

/** Returns what is alike in a request and its repeats. */
export function fingerprintOf({
  team,
  path,
  body,
}: Pick<Run, "team" | "path" | "body">): string {
  const digest = createHash("sha256").update(`${team}\n${path}\n`);
  return digest.update(body).digest("base64url").slice(0, 22);
}
