/** How a router asks the authority over one engine. */

import type { Demand, Prompt } from "./demand.ts";
import type { Outcome } from "./outcome.ts";
import type { Work } from "./work.ts";

/** What the authority says of its engine, for all routers. */
export interface EngineReport extends Work {
  readonly asks: number;
  readonly askedTokens: number;
  readonly tokensPerMs: number;
  /** Share of recent requests that it failed, 0 to 1. */
  readonly failureShare: number;
  /** Routers that are connected to the authority. */
  readonly routers: number;
}

/** Leave to send one request. */
export interface Permit {
  readonly uncachedTokens: number;
  /** Notes that the first event has come. */
  begun(): void;
  /** Gives the permit back. */
  finish(outcome: Outcome): void;
}

/** What is asked for one request. */
export interface Question {
  readonly demand: Demand;
  readonly prompt: Prompt;
  /** Tokens at its head that the engine can copy from another one. */
  readonly copiedTokens: number;
  /** Recent service of its team at other engines. */
  readonly elsewhere: number;
  readonly leftMs: number;
}

/** An answer to a question; one of them is called once. */
export interface Reply {
  permitted(permit: Permit): void;
  /** The authority can't be reached any more. */
  lost(): void;
}

/** The authority over one engine. */
export interface GateAccess {
  /** Whether it can be asked now. */
  readonly connected: boolean;
  /** Its latest report; null before one. */
  readonly report: EngineReport | null;
  /** Asks; call the result to take the question back. */
  ask(question: Question, reply: Reply): () => void;
  /** Recent service of a team at this engine. */
  serviceOf(team: string): number;
}
