/** The operators' configuration of the fleet. */

import type { Route } from "./route.ts";

/** Capacity of the model engine on each server of a service. */
export interface Engine {
  /** Requests that one server runs at once. */
  readonly slots: number;
  /** Tokens that one server's KV cache holds. */
  readonly cacheTokens: number;
  /**
   * Rate in tokens/ms at which a server copies KV cache from another one; 0
   * if it can't.
   */
  readonly copiedTokensPerMs: number;
}

/** How long a service's servers are slow after a start, and what they take. */
export interface ColdStart {
  /** Time after its start for which a server is cold. */
  readonly durationMs: number;
  /** Requests per second from all routers that a cold server tolerates. */
  readonly requestsPerS: number;
}

/** A group of identical backend servers. */
export interface Service {
  readonly name: string;
  /** Connections that one server accepts from all routers in total. */
  readonly maxConnections: number;
  /** Null for a service that serves no model. */
  readonly engine: Engine | null;
  /** Null if its servers take any number of requests from their start on. */
  readonly coldStart: ColdStart | null;
}

/** A team and the API keys of its callers. */
export interface Team {
  readonly name: string;
  readonly apiKeys: readonly string[];
  /** Regions in which its requests may be served; null for any. */
  readonly regions: readonly string[] | null;
}

/** Limits on callers' requests and on their total load. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Time in which all headers of a request must have arrived. */
  readonly headerTimeoutMs: number;
  /** Time after which an idle keep-alive connection is closed. */
  readonly idleTimeoutMs: number;
  /** Total throughput of all engines: prompt and generated tokens/s. */
  readonly tokensPerSecond: number;
}

/** One version of the configuration. */
export interface FleetConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  /** Null if callers need no API key. */
  readonly teams: readonly Team[] | null;
  readonly limits: CallerLimits;
}
