/** State of one backend server, as one router sees it. */

import type { BackendServer } from "../directory/mod.ts";
import type { Engine } from "../routing/mod.ts";
import { type Prompt, privateTokensOf } from "./demand.ts";
import type { EngineAdmission } from "./engine_admission.ts";
import { PredictedCache } from "./predicted_cache.ts";
import type { PrefillRate } from "./prefill_rate.ts";
import {
  type RequestInFlight,
  RequestsInFlight,
} from "./requests_in_flight.ts";
import { ServerHealth } from "./server_health.ts";
import type { Work } from "./work.ts";

/** Load, expected cache contents and health of one server. */
export class ServerLoad {
  server: BackendServer;
  readonly engine: Engine | null;
  readonly predictedCache: PredictedCache;
  readonly health: ServerHealth;
  readonly prefillRate: PrefillRate;
  /** Client of its admission controller; null if it has none. */
  readonly admission: EngineAdmission | null;
  readonly #inFlight = new RequestsInFlight();

  constructor(
    server: BackendServer,
    engine: Engine | null,
    deps: {
      readonly rate: PrefillRate;
      readonly admission: EngineAdmission | null;
    },
  ) {
    this.server = server;
    this.engine = engine;
    this.prefillRate = deps.rate;
    this.admission = deps.admission;
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
    if (prompt !== null) this.predictedCache.note(prompt);
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
