/** Classifies the condition of an engine for the log. */

import { MAX_FAILURE_SHARE } from "../scheduling/mod.ts";

/** Condition of an engine, as logged in `engine` events. */
export type EngineState =
  | "well"
  /** The prefill rate is far below the learned one. */
  | "slow"
  /** Most of its recent requests failed; routers avoid it. */
  | "failing";

/** Figures that an engine's state is derived from. */
export interface EngineMetrics {
  /** Share of recent requests that the engine failed, 0 to 1. */
  readonly failureShare: number;
  /** Prefill rate learned from past requests. */
  readonly learnedTokensPerMs: number;
  /** Prefill rate, lowered while a prefill is overdue. */
  readonly currentTokensPerMs: number;
}

/** An engine below this part of its learned prefill rate is slow. */
const SLOW_RATE_RATIO = 1 / 3;

/** Returns the state; an engine that is both slow and failing is failing. */
export function classifyEngine({
  failureShare,
  learnedTokensPerMs,
  currentTokensPerMs,
}: EngineMetrics): EngineState {
  if (failureShare > MAX_FAILURE_SHARE) return "failing";
  const isSlow = currentTokensPerMs < learnedTokensPerMs * SLOW_RATE_RATIO;
  return isSlow ? "slow" : "well";
}
