/** Engines as a baseline router sees them. */

import { Agent, request } from "undici";
import type { Policy } from "./policy.ts";

const LOAD_POLL_MS = 200;

/** One engine with what is known of its load. */
export interface PooledEngine {
  readonly url: string;
  /** Requests that this router has there. */
  own: number;
  /** Requests of all routers, as last reported. */
  reported: number;
}

/** Picks engines by a policy. */
export class EnginePool {
  readonly engines: PooledEngine[];
  readonly agent = new Agent({
    connections: 512,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  readonly #policy: Policy;
  readonly #limit: number;
  #turn = 0;

  /** `limit` is this router's share of each engine's slots. */
  constructor(urls: readonly string[], policy: Policy, limit: number) {
    this.engines = urls.map((url) => ({ url, own: 0, reported: 0 }));
    this.#policy = policy;
    this.#limit = limit;
    if (policy === "least-load")
      setInterval(() => void this.#poll(), LOAD_POLL_MS);
  }

  /** Returns the engine to use now; null if the request must wait. */
  pick(): PooledEngine | null {
    switch (this.#policy) {
      case "round-robin":
        this.#turn += 1;
        return this.engines[this.#turn % this.engines.length] ?? null;
      case "least-load":
        return least(this.engines, ({ own, reported }) => own + reported);
      case "static-shares": {
        const engine = least(this.engines, ({ own }) => own);
        return engine !== null && engine.own < this.#limit ? engine : null;
      }
      default:
        return this.#policy satisfies never;
    }
  }

  async #poll(): Promise<void> {
    await Promise.all(
      this.engines.map(async (engine) => {
        const response = await request(`${engine.url}/health`);
        const load = (await response.body.json()) as Record<string, number>;
        engine.reported = (load.running ?? 0) + (load.queued ?? 0) - engine.own;
      }),
    );
  }
}

function least(
  engines: readonly PooledEngine[],
  load: (engine: PooledEngine) => number,
): PooledEngine | null {
  let best: PooledEngine | null = null;
  for (const engine of engines) {
    if (best === null || load(engine) < load(best)) best = engine;
  }
  return best;
}
