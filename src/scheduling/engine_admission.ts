/**
 * Interface to an admission controller: the process that decides for all
 * routers when one engine takes a request.
 */

import type { BusyPart } from "../cost/mod.ts";
import type { BackendServer } from "../directory/mod.ts";
import type { Demand, Prompt } from "./demand.ts";
import type { Outcome } from "./outcome.ts";
import type { LimitObservation } from "./request_limit.ts";
import type { Work } from "./work.ts";

/** State of an engine over all routers, as it is reported to each router. */
export interface EngineReport extends Work {
  /** Requests that wait for a permit. */
  readonly asks: number;
  /** Uncached prompt tokens of the requests that wait for a permit. */
  readonly askedTokens: number;
  /** Prefill rate, in tokens/ms. */
  readonly tokensPerMs: number;
  /** Share of recent requests that the engine failed, 0 to 1. */
  readonly failureShare: number;
  /** Limit on requests per second that the engine names; null for none. */
  readonly requestsPerS: number | null;
  /** Requests that the limit allows at once; 0 without a limit. */
  readonly freeSlots: number;
  /** Absent unless the engine is cold or requests are held back for that. */
  readonly coldPace?: {
    /** Requests per second of all routers. */
    readonly requestsPerS: number;
    /** Time for which it was cold at the report; 0 for a warm one. */
    readonly remainingMs: number;
  };
  /**
   * Time after which a part of a prompt that no request uses is evicted from the
   * engine's cache; null if none was evicted.
   */
  readonly cacheLifetimeMs: number | null;
  /** Parts of prompts that take much of the engine; absent if none does. */
  readonly busyParts?: readonly BusyPart[];
  /** Number of routers that are connected to the admission controller. */
  readonly routers: number;
}

/** Permission to send one request to the engine. */
export interface Permit {
  /** Prompt tokens that the engine is expected to prefill. */
  readonly uncachedTokens: number;
  /** Reports that the first token has arrived. */
  begun(): void;
  /** Notes that its stream paused for longer than is on time. */
  noteMissedPace(): void;
  /** Reports how the request ended, and returns the permit. */
  finish(outcome: Outcome): void;
}

/** A request for a permit. */
export interface PermitParameters {
  readonly demand: Demand;
  readonly prompt: Prompt;
  /** Prefix tokens that the engine can copy from another engine's cache. */
  readonly copiedTokens: number;
  /** Recent usage by its team at other engines, in prompt tokens. */
  readonly elsewhere: number;
  /** Time until its objective; negative once that has passed. */
  readonly leftMs: number;
}

/** Answers to a request for a permit; one of them is called, once. */
export interface PermitCallbacks {
  permitted(permit: Permit): void;
  /** The connection to the admission controller was lost. */
  disconnected(): void;
}

/** Client of the admission controller of one engine. */
export interface EngineAdmission {
  /** Whether permits can be requested now. */
  readonly connected: boolean;
  /** Its latest report; null before one. */
  readonly report: EngineReport | null;
  /** Requests a permit; call the result to withdraw the request. */
  requestPermit(
    parameters: PermitParameters,
    callbacks: PermitCallbacks,
  ): () => void;
  /** Recent usage by a team at this engine, in prompt tokens. */
  usageOf(team: string): number;
  /** Reports the limit that a response of the engine's server states. */
  noteRequestLimit(server: BackendServer, observation: LimitObservation): void;
}
