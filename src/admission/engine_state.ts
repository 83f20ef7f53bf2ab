/** What a gate believes of its engine, in a word for the log. */

import { LEFT_OUT_SHARE } from "../scheduling/mod.ts";

/** How an engine does. */
export type EngineState =
  | "well"
  /** A prompt takes far longer than it should. */
  | "slow"
  /** It fails most of what it gets; routers leave it out. */
  | "failing";

/** What the state is told from. */
export interface EngineSigns {
  readonly failureShare: number;
  readonly usualTokensPerMs: number;
  readonly presentTokensPerMs: number;
}

/** Part of the usual rate under which an engine is called slow. */
const SLOW_SHARE = 1 / 3;

/** Returns the state; failing says more than slow. */
export function stateOf({
  failureShare,
  usualTokensPerMs,
  presentTokensPerMs,
}: EngineSigns): EngineState {
  if (failureShare > LEFT_OUT_SHARE) return "failing";
  const isSlow = presentTokensPerMs < usualTokensPerMs * SLOW_SHARE;
  return isSlow ? "slow" : "well";
}
