/** Cost of a request under the meter of a team's contract. */

import type { Meter } from "../configuration/mod.ts";

/** Tokens that a request used. */
export interface Usage {
  readonly promptTokens: number;
  readonly generatedTokens: number;
}

/** Returns the cost of a request for its usage so far, in cost units. */
export function usageCost(meter: Meter, kind: string, usage: Usage): number {
  switch (meter.type) {
    case "tokens":
      return (
        meter.promptWeight * usage.promptTokens +
        meter.generatedWeight * usage.generatedTokens
      );
    case "completed":
      return meter.weightByKind[kind] ?? meter.defaultWeight;
    default:
      return meter satisfies never;
  }
}

/** Returns the cost of a request that ended without a complete answer. */
export function failedCost(meter: Meter, kind: string, usage: Usage): number {
  return meter.type === "completed" ? 0 : usageCost(meter, kind, usage);
}
