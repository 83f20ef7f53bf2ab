/** What one backend server has to do, as one router sees it. */

import type { BackendServer } from "../directory/mod.ts";
import type { Engine } from "../routing/mod.ts";
import { type Prompt, privateTokensOf } from "./demand.ts";
import type { GateAccess } from "./gate_access.ts";
import { PromptMemory } from "./prompt_memory.ts";
import type { ReadingRate } from "./reading_rate.ts";
import { type Run, RunningWork } from "./running_work.ts";
import { ServerHealth } from "./server_health.ts";
import type { Work } from "./work.ts";

/** Load, memory and health of one server. */
export class ServerLoad {
  server: BackendServer;
  readonly engine: Engine | null;
  readonly memory: PromptMemory;
  readonly health: ServerHealth;
  readonly rate: ReadingRate;
  /** The authority over it; null where there is none. */
  readonly gate: GateAccess | null;
  readonly #own = new RunningWork();

  constructor(
    server: BackendServer,
    engine: Engine | null,
    parts: { readonly rate: ReadingRate; readonly gate: GateAccess | null },
  ) {
    this.server = server;
    this.engine = engine;
    this.rate = parts.rate;
    this.gate = parts.gate;
    this.memory = new PromptMemory(engine?.cacheTokens ?? 0);
    this.health = new ServerHealth();
  }

  get id(): string {
    return this.server.id;
  }

  /** Share of recent requests that it failed, here or at any router. */
  failureShare(nowMs: number): number {
    const seenByAll = this.gate?.report?.failureShare ?? 0;
    return Math.max(this.health.failureShare(nowMs), seenByAll);
  }

  /** Work that this router has there. */
  get own(): Work {
    return this.#own.work;
  }

  /** Notes a request that is sent now. */
  begin(
    prompt: Prompt | null,
    { uncachedTokens, nowMs }: { uncachedTokens: number; nowMs: number },
  ): Run {
    const privateTokens = prompt === null ? 0 : privateTokensOf(prompt);
    const run = this.#own.begin({ uncachedTokens, privateTokens }, nowMs);
    if (prompt !== null) this.memory.note(prompt);
    return run;
  }

  /** Notes that a request's prompt has been read. */
  read(run: Run): void {
    this.#own.read(run);
  }

  /** Notes that a request has ended. */
  end(run: Run): void {
    this.#own.end(run);
  }
}
