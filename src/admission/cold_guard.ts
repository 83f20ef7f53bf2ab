/**
 * Bounds the permits for an engine that may be cold.
 *
 * That an engine has turned cold is known late, so the bound of a cold one holds
 * always; while the engine is known to be cold, permits are issued at the pace
 * that it tolerates.
 */

import type { Clock } from "../common/clock.ts";
import type { ColdPace, ColdTerms } from "../protocol/mod.ts";
import { COLD_SHARE_OF_RATE, RequestLimit } from "../scheduling/mod.ts";
import { PermitWindow } from "./permit_window.ts";
import type { Routers } from "./router_count.ts";

/** What a cold engine may get in one second, from all routers together. */
export interface ColdBounds {
  /** Factor on the rate that it tolerates. */
  readonly overshoot: number;
  /** Requests beyond that. */
  readonly slack: number;
}

/** How it is known that an engine is cold. */
export type ColdSource =
  /** Permits of an earlier controller process aren't known. */
  | "controller-started"
  | "engine-started"
  | "engine-unreachable"
  /** A local response of the engine says so. */
  | "engine"
  /** Its zone takes requests again. */
  | "zone-returned"
  /** A router says so: by the engine's entry, or since its zone is back. */
  | "router";

/** An end of coldness, as a log line tells it. */
export interface ColdChange {
  readonly isCold: boolean;
  readonly source: ColdSource;
  /** Time for which it is cold; for a warm one, 0. */
  readonly remainingMs: number;
  /** Requests that had to wait for a permit since it was cold. */
  readonly held: number;
}

/** Bound on requests in one second that stands in the operators' settings. */
const BOUND_MS = 1_000;
/**
 * Permits reach the routers, and their requests the engine, after times that
 * differ by some hundredths of a second, at a busy router by a tenth.
 */
const JITTER_MS = 100;
/** Small, so that a pause isn't followed by a burst; timers fire later. */
const SLOT_LIFETIME_MS = 250;
/** Time in which permits of an earlier process may still count. */
const START_MS = 1_000;
/**
 * Standard deviations by which routers without permits may send more than their
 * mean in the fullest of many seconds: the phases of their slots are random.
 */
const SPREAD_DEVIATIONS = 5;

/** Permits for one engine; without terms, any number. */
export class ColdGuard {
  readonly #clock: Clock;
  readonly #bounds: ColdBounds | null;
  readonly #window: PermitWindow;
  readonly #startedAtMs: number;
  #terms: ColdTerms | null = null;
  #pace: RequestLimit;
  #coldUntilMs = Number.NEGATIVE_INFINITY;
  #source: ColdSource = "controller-started";
  #isCold = false;
  #held = new Set<unknown>();
  #routers: Routers = { connected: 1, known: 1 };

  /** @param bounds null to bound nothing while the engine is warm */
  constructor(clock: Clock, bounds: ColdBounds | null) {
    this.#clock = clock;
    this.#bounds = bounds;
    this.#window = new PermitWindow(clock, BOUND_MS + JITTER_MS);
    this.#startedAtMs = clock.monotonicMs();
    this.#pace = this.#createPace();
  }

  /** Whether the engine's service has a rate for cold engines. */
  get isNeeded(): boolean {
    return this.#terms !== null;
  }

  /** Time for which the engine is cold, as far as is known. */
  get remainingMs(): number {
    return Math.max(0, this.#coldUntilMs - this.#clock.monotonicMs());
  }

  /** Sets how many routers there are, and how many ask for permits here. */
  setRouters(routers: Routers): void {
    this.#routers = routers;
  }

  /** Applies what a router knows; without terms, nothing is bounded. */
  configure(terms: ColdTerms | undefined): void {
    const isFirst = this.#terms === null;
    const rate = this.#terms?.requestsPerS;
    this.#terms = terms ?? null;
    if (terms === undefined) return;
    if (terms.requestsPerS !== rate) this.#pace = this.#createPace();
    if (isFirst) {
      const sinceStartMs = this.#clock.monotonicMs() - this.#startedAtMs;
      this.noteCold(START_MS - sinceStartMs, "controller-started");
    }
    this.noteCold(terms.remainingMs, "router");
  }

  /** Records a start of the engine, or that it can't be reached. */
  noteStart(source: ColdSource): void {
    this.noteCold(this.#terms?.durationMs ?? 0, source);
  }

  /** Records that the engine is cold; an earlier end is ignored. */
  noteCold(remainingMs: number, source: ColdSource): void {
    const untilMs = this.#clock.monotonicMs() + remainingMs;
    if (remainingMs <= 0 || untilMs <= this.#coldUntilMs) return;
    if (this.remainingMs === 0) this.#pace = this.#createPace();
    this.#coldUntilMs = untilMs;
    this.#source = source;
  }

  /** Returns a change between cold and warm since the last call, or null. */
  takeChange(): ColdChange | null {
    const remainingMs = this.remainingMs;
    const isCold = remainingMs > 0 && this.isNeeded;
    if (isCold === this.#isCold) return null;
    this.#isCold = isCold;
    const held = this.#held.size;
    this.#held = new Set();
    return { isCold, source: this.#source, remainingMs, held };
  }

  /**
   * Whether a permit may be issued now.
   *
   * @param request counted once as held back if it may not
   */
  allows(request: unknown): boolean {
    if (this.#terms === null) return true;
    const most = this.#mostInWindow;
    const isOpen =
      (most === null || this.#window.free(most) > 0) &&
      (this.remainingMs === 0 || this.#pace.delayMs(this.#share) === 0);
    if (!isOpen && this.remainingMs > 0) this.#held.add(request);
    return isOpen;
  }

  /** Records a permit that is issued now. */
  spend(): void {
    if (this.#terms === null) return;
    this.#window.add();
    if (this.remainingMs > 0) this.#pace.spend(this.#share);
  }

  /** Permits that may be issued now; null if their number isn't bounded. */
  get freeSlots(): number | null {
    if (this.#terms === null) return null;
    const most = this.#mostInWindow;
    const window = most === null ? null : this.#window.free(most);
    if (this.remainingMs === 0) return window;
    const paced = this.#pace.freeSlots(this.#share);
    return window === null ? paced : Math.min(window, paced);
  }

  /**
   * The pace that routers are told; undefined while nothing is held back.
   *
   * @param hasQueued whether requests wait for permits
   */
  pace(hasQueued: boolean): ColdPace | undefined {
    if (this.#terms === null) return undefined;
    const { remainingMs } = this;
    if (remainingMs > 0) {
      const requestsPerS = this.#terms.requestsPerS * this.#share;
      return { requestsPerS, remainingMs: Math.ceil(remainingMs) };
    }
    const most = this.#mostInWindow;
    if (most === null || !hasQueued || this.#window.free(most) > 0)
      return undefined;
    const requestsPerS = (most * BOUND_MS) / (BOUND_MS + JITTER_MS);
    return { requestsPerS, remainingMs: 0 };
  }

  /** Permits in any window; null if that isn't bounded. */
  get #mostInWindow(): number | null {
    if (this.#terms === null || this.#bounds === null) return null;
    const { overshoot, slack } = this.#bounds;
    const bound = this.#terms.requestsPerS * overshoot + slack;
    const elsewhere = this.#sentElsewhere;
    const spread = SPREAD_DEVIATIONS * Math.sqrt(elsewhere);
    return Math.max(1, Math.floor(bound - elsewhere - spread));
  }

  /** Part of all routers that asks for permits here, 0 to 1. */
  get #share(): number {
    const { connected, known } = this.#routers;
    return known === 0 ? 1 : Math.max(1, connected) / known;
  }

  /** Mean of what the other routers send in one second. */
  get #sentElsewhere(): number {
    const { connected, known } = this.#routers;
    if (this.#terms === null || known === 0) return 0;
    const share = Math.max(0, known - connected) / known;
    return this.#terms.requestsPerS * COLD_SHARE_OF_RATE * share;
  }

  #createPace(): RequestLimit {
    const slotLifetimeMs = SLOT_LIFETIME_MS;
    const pace = new RequestLimit(this.#clock, { slotLifetimeMs });
    const requestsPerS = this.#terms?.requestsPerS ?? null;
    pace.observe({ requestsPerS, sentAtMs: this.#clock.monotonicMs() });
    return pace;
  }
}
