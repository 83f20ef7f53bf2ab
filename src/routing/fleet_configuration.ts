/** What operators decide, as one version of the whole. */

import type { Route } from "./route.ts";

/** A model engine behind the servers of a service. */
export interface Engine {
  /** Requests that one server runs at once. */
  readonly slots: number;
  /** Tokens that one server's KV cache holds. */
  readonly cacheTokens: number;
  /**
   * Tokens that a server can copy in a millisecond from another one's cache;
   * 0 when it can't.
   */
  readonly copiedTokensPerMs: number;
}

/** A group of alike backend servers. */
export interface Service {
  readonly name: string;
  /** Connections that one server accepts from all routers together. */
  readonly maxConnections: number;
  /** Null for a service that serves no model. */
  readonly engine: Engine | null;
}

/** A team and the keys that its callers show. */
export interface Team {
  readonly name: string;
  readonly apiKeys: readonly string[];
}

/** Bounds on what callers send. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
  /** Tokens a second that all engines read and generate together. */
  readonly tokensPerSecond: number;
}

/** One version of the configuration. */
export interface FleetConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  /** Null when callers need no key. */
  readonly teams: readonly Team[] | null;
  readonly limits: CallerLimits;
}
