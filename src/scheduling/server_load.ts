/** State of one backend server, as one router sees it. */

import type { BackendServer } from "../directory/mod.ts";
import type { Engine } from "../routing/mod.ts";
import { type Prompt, privateTokensOf } from "./demand.ts";
import type { GateAccess } from "./gate_client.ts";
import { PromptMemory } from "./predicted_cache.ts";
import type { ReadingRate } from "./prefill_rate.ts";
import { type Run, RunningWork } from "./requests_in_flight.ts";
import { ServerHealth } from "./server_health.ts";
import type { Work } from "./work.ts";

/** Load, expected cache contents and health of one server. */
export class ServerLoad {
  server: BackendServer;
  readonly engine: Engine | null;
  readonly predictedCache: PromptMemory;
  readonly health: ServerHealth;
  readonly prefillRate: ReadingRate;
  /** Client of its admission gate; null if it has none. */
  readonly gate: GateAccess | null;
  readonly #inFlight = new RunningWork();

  constructor(
    server: BackendServer,
    engine: Engine | null,
    parts: { readonly rate: ReadingRate; readonly gate: GateAccess | null },
  ) {
    this.server = server;
    this.engine = engine;
    this.prefillRate = parts.rate;
    this.gate = parts.gate;
    this.predictedCache = new PromptMemory(engine?.cacheTokens ?? 0);
    this.health = new ServerHealth();
  }

  get id(): string {
    return this.server.id;
  }

  /** Failure share, 0 to 1: the larger of this router's and the gate's. */
  failureShare(nowMs: number): number {
    const reported = this.gate?.report?.failureShare ?? 0;
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
  ): Run {
    const privateTokens = prompt === null ? 0 : privateTokensOf(prompt);
    const run = this.#inFlight.begin({ uncachedTokens, privateTokens }, nowMs);
    if (prompt !== null) this.predictedCache.note(prompt);
    return run;
  }

  /** Marks a request's prompt as prefilled. */
  notePrefillDone(run: Run): void {
    this.#inFlight.read(run);
  }

  /** Removes a request that has ended. */
  end(run: Run): void {
    this.#inFlight.end(run);
  }
}
