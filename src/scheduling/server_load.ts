/** State of one backend server, as one router sees it. */

import type { Clock } from "../common/clock.ts";
import type { EngineDemand } from "../cost/mod.ts";
import type { BackendServer } from "../directory/mod.ts";
import type { Engine } from "../routing/mod.ts";
import type { ColdShare } from "./cold_share.ts";
import { type Prompt, privateTokensOf } from "./demand.ts";
import type { EngineAdmission, EngineReport } from "./engine_admission.ts";
import { PredictedCache } from "./predicted_cache.ts";
import type { PrefillRate } from "./prefill_rate.ts";
import { effectiveRate, RequestLimit } from "./request_limit.ts";
import {
  type RequestInFlight,
  RequestsInFlight,
} from "./requests_in_flight.ts";
import { ServerHealth } from "./server_health.ts";
import type { Work } from "./work.ts";

const MS_PER_SECOND = 1_000;

/** Requests that a server takes under the limit that it names. */
export interface LimitedCapacity {
  /** Requests per second that this router may count on. */
  readonly requestsPerS: number;
  /** Requests that may be sent at once. */
  readonly freeSlots: number;
  /** Requests that wait for a permit, of all routers. */
  readonly asks: number;
  /** Whether it holds until the admission controller is connected again. */
  readonly isProvisional: boolean;
}

/** Load, expected cache contents and health of one server. */
export class ServerLoad {
  server: BackendServer;
  readonly engine: Engine | null;
  readonly predictedCache: PredictedCache;
  readonly health: ServerHealth;
  readonly prefillRate: PrefillRate;
  /** Client of its admission controller; null if it has none. */
  readonly admission: EngineAdmission | null;
  /** The limit that this router knows of; without permits, it is shared. */
  readonly requestLimit: RequestLimit;
  /** What may be sent without permits if it may be cold; null for any number. */
  readonly #coldShare: ColdShare | null;
  readonly #inFlight = new RequestsInFlight();

  constructor(
    server: BackendServer,
    engine: Engine | null,
    deps: {
      readonly clock: Clock;
      readonly rate: PrefillRate;
      readonly admission: EngineAdmission | null;
      readonly coldShare?: ColdShare | null;
    },
  ) {
    this.server = server;
    this.engine = engine;
    this.prefillRate = deps.rate;
    this.admission = deps.admission;
    this.requestLimit = new RequestLimit(deps.clock);
    this.#coldShare = deps.coldShare ?? null;
    this.predictedCache = new PredictedCache(engine?.cacheTokens ?? 0);
    this.health = new ServerHealth();
  }

  get id(): string {
    return this.server.id;
  }

  /** Failure share, 0 to 1: this router's or the reported one, if larger. */
  failureShare(nowMs: number): number {
    const reported = this.admission?.report?.failureShare ?? 0;
    return Math.max(this.health.failureShare(nowMs), reported);
  }

  /** What its admission controller has reported; null before a report. */
  get demand(): EngineDemand | null {
    return this.admission?.report ?? null;
  }

  /** Whether an admission controller decides when requests are sent. */
  get needsPermit(): boolean {
    return this.admission?.connected === true;
  }

  /**
   * What the server's limit allows; null without a limit.
   *
   * @param share part of the limit that this router may use without permits
   */
  limitedCapacity(share: number): LimitedCapacity | null {
    const report = this.#permitReport;
    return report === null
      ? this.#ownCapacity(share)
      : reportedCapacity(report);
  }

  /** Expected time until the server's limit allows one more request. */
  limitDelayMs(share: number): number {
    if (this.#permitReport === null)
      return Math.max(
        this.requestLimit.delayMs(share),
        this.#coldShare?.delayMs ?? 0,
      );
    const capacity = this.limitedCapacity(share);
    if (capacity === null) return 0;
    const { asks, freeSlots, requestsPerS } = capacity;
    return (Math.max(0, asks + 1 - freeSlots) / requestsPerS) * MS_PER_SECOND;
  }

  /** Takes a slot for a request that is sent now without a permit. */
  spendSlot(share: number): void {
    this.requestLimit.spend(share);
    this.#coldShare?.spend();
  }

  /** What this router may send without permits; null for any number. */
  #ownCapacity(share: number): LimitedCapacity | null {
    const { requestsPerS } = this.requestLimit;
    const coldRatePerS = this.#coldShare?.requestsPerS ?? null;
    if (requestsPerS === null && coldRatePerS === null) return null;
    const named =
      requestsPerS === null
        ? { perS: Number.POSITIVE_INFINITY, slots: Number.POSITIVE_INFINITY }
        : {
            perS: effectiveRate(requestsPerS) * share,
            slots: this.requestLimit.freeSlots(share),
          };
    const coldSlots =
      coldRatePerS === null ? null : (this.#coldShare?.freeSlots ?? null);
    return {
      requestsPerS: Math.min(named.perS, coldRatePerS ?? named.perS),
      freeSlots: Math.min(named.slots, coldSlots ?? named.slots),
      asks: 0,
      isProvisional: requestsPerS === null && this.admission !== null,
    };
  }

  /** Prefix tokens of a prompt that its cache is expected to hold. */
  cachedTokens(prompt: Prompt, nowMs: number): number {
    const lifetimeMs = this.admission?.report?.cacheLifetimeMs ?? null;
    if (lifetimeMs === null) return this.predictedCache.cachedTokens(prompt);
    // This router doesn't see what the requests of other routers evict.
    const usedAfterMs = nowMs - lifetimeMs;
    return this.predictedCache.cachedTokens(prompt, { usedAfterMs });
  }

  get #permitReport(): EngineReport | null {
    return this.needsPermit ? (this.admission?.report ?? null) : null;
  }

  /** Work of this router's requests at the server. */
  get ownWork(): Work {
    return this.#inFlight.work;
  }

  /** Adds a request that is sent now. */
  begin(
    prompt: Prompt | null,
    { uncachedTokens, nowMs }: { uncachedTokens: number; nowMs: number },
  ): RequestInFlight {
    const privateTokens = prompt === null ? 0 : privateTokensOf(prompt);
    const run = this.#inFlight.begin({ uncachedTokens, privateTokens }, nowMs);
    if (prompt !== null) this.predictedCache.note(prompt, nowMs);
    return run;
  }

  /** Marks a request's prompt as prefilled. */
  markPrefilled(run: RequestInFlight): void {
    this.#inFlight.markPrefilled(run);
  }

  /** Removes a request that has ended. */
  end(run: RequestInFlight): void {
    this.#inFlight.end(run);
  }
}

/** What an admission controller allows all routers; null for any number. */
function reportedCapacity({
  requestsPerS,
  freeSlots,
  coldPace,
  asks,
}: EngineReport): LimitedCapacity | null {
  if (requestsPerS === null && coldPace === undefined) return null;
  const perS = Math.min(
    requestsPerS === null
      ? Number.POSITIVE_INFINITY
      : effectiveRate(requestsPerS),
    coldPace?.requestsPerS ?? Number.POSITIVE_INFINITY,
  );
  return { requestsPerS: perS, freeSlots, asks, isProvisional: false };
}
