/** Builders of demands and prompts for tests. */

import type { Demand } from "../../src/scheduling/demand.ts";

/** Returns the demand of a request without a prompt. */
export function createDemand(change: Partial<Demand> = {}): Demand {
  return {
    requestId: "r",
    team: "t",
    service: "chat",
    priority: 1,
    prompt: null,
    objectiveAtMs: 2_000,
    objectiveMs: 1_000,
    eventGapMs: null,
    deadlineAtMs: 9_000,
    excluded: new Set(),
    avoided: new Set(),
    version: null,
    zones: null,
    ...change,
  };
}

/** Returns a prompt with a shared prefix of 9,000 tokens and 1,000 own ones. */
export function createPrompt(prefix: string, own: string) {
  return {
    model: "m",
    parts: [
      { id: prefix, tokens: 9_000 },
      { id: own, tokens: 1_000 },
    ],
    inputTokens: 10_000,
    outputTokens: 100,
  };
}
