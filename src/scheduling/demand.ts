/** The scheduler's view of a request: its prompt, team and time limits. */

/** A part of a prompt that an engine can keep in its KV cache. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** The parts and lengths of a prompt, as its caller states them. */
export interface Prompt {
  readonly model: string;
  /** In order; the last is private to the request or its session. */
  readonly parts: readonly PromptPart[];
  readonly inputTokens: number;
  /** Expected number of generated tokens. */
  readonly outputTokens: number;
}

/** A request that needs a backend server. */
export interface Demand {
  readonly requestId: string;
  readonly team: string;
  readonly service: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Null for services without a model. */
  readonly prompt: Prompt | null;
  /** Monotonic time at which `objectiveMs` is over. */
  readonly objectiveAtMs: number;
  /** Target time to the answer, or to the first token of a stream. */
  readonly objectiveMs: number;
  /** Longest pause between its events that is on time; null for any. */
  readonly eventGapMs: number | null;
  /** Monotonic time after which its caller no longer waits. */
  readonly deadlineAtMs: number;
  /** Ids of servers that it must not be sent to again. */
  readonly excluded: ReadonlySet<string>;
  /** Ids of servers that couldn't be reached; used if no other is left. */
  readonly avoided: ReadonlySet<string>;
  /**
   * Software version that began the stream and that it can go on at; null for
   * any.
   */
  readonly version: string | null;
  /** Availability zones in which it may be served; null for any. */
  readonly zones: ReadonlySet<string> | null;
}

/** A generated token costs an engine as much as two prompt tokens. */
const GENERATED_TOKEN_WEIGHT = 2;

/** Cost of a request in prompt tokens, as charged to its team's usage. */
export function costOf({ prompt }: Pick<Demand, "prompt">): number {
  if (prompt === null) return 1;
  return prompt.inputTokens + GENERATED_TOKEN_WEIGHT * prompt.outputTokens;
}

/** Parts that other requests may share: all but the last. */
export function sharedParts(
  parts: readonly PromptPart[],
): readonly PromptPart[] {
  return parts.slice(0, -1);
}

/** Tokens of KV cache that a running request needs beyond shared parts. */
export function privateTokensOf({ parts, outputTokens }: Prompt): number {
  return (parts.at(-1)?.tokens ?? 0) + outputTokens;
}
