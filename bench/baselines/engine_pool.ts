/** The engines of a baseline router, and the choice among them. */

import { Agent, request } from "undici";
import type { Policy } from "./policy.ts";

const LOAD_POLL_MS = 200;

/** One engine and its known load. */
export interface PooledEngine {
  readonly url: string;
  /** Requests of this router that the engine runs or queues. */
  inFlight: number;
  /** Requests of the other routers, as of the last load poll. */
  inFlightElsewhere: number;
}

/** Chooses engines by a policy. */
export class EnginePool {
  readonly engines: PooledEngine[];
  readonly agent = new Agent({
    connections: 512,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  readonly #policy: Policy;
  readonly #maxInFlight: number;
  #roundRobinTurn = 0;

  /** `maxInFlight` is this router's share of the slots of each engine. */
  constructor(urls: readonly string[], policy: Policy, maxInFlight: number) {
    this.engines = urls.map((url) => ({
      url,
      inFlight: 0,
      inFlightElsewhere: 0,
    }));
    this.#policy = policy;
    this.#maxInFlight = maxInFlight;
    if (policy === "least-load")
      setInterval(() => void this.#pollLoads(), LOAD_POLL_MS);
  }

  /** Returns an engine for the next request; null if the request must wait. */
  pick(): PooledEngine | null {
    switch (this.#policy) {
      case "round-robin":
        this.#roundRobinTurn += 1;
        return this.engines[this.#roundRobinTurn % this.engines.length] ?? null;
      case "least-load":
        return leastLoaded(
          this.engines,
          ({ inFlight, inFlightElsewhere }) => inFlight + inFlightElsewhere,
        );
      case "static-shares": {
        const engine = leastLoaded(this.engines, ({ inFlight }) => inFlight);
        return engine !== null && engine.inFlight < this.#maxInFlight
          ? engine
          : null;
      }
      default:
        return this.#policy satisfies never;
    }
  }

  async #pollLoads(): Promise<void> {
    await Promise.all(
      this.engines.map(async (engine) => {
        const response = await request(`${engine.url}/health`);
        const load = (await response.body.json()) as Record<string, number>;
        engine.inFlightElsewhere =
          (load.running ?? 0) + (load.queued ?? 0) - engine.inFlight;
      }),
    );
  }
}

function leastLoaded(
  engines: readonly PooledEngine[],
  load: (engine: PooledEngine) => number,
): PooledEngine | null {
  let best: PooledEngine | null = null;
  for (const engine of engines) {
    if (best === null || load(engine) < load(best)) best = engine;
  }
  return best;
}
