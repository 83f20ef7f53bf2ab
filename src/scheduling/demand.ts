/** What a waiting request asks of a service. */

/** A run of tokens at the head of prompts that may be cached. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** A prompt as its caller describes it. */
export interface Prompt {
  readonly model: string;
  /** In order; the last belongs to the request itself or its session. */
  readonly parts: readonly PromptPart[];
  readonly inputTokens: number;
  /** Tokens that are expected to be generated. */
  readonly outputTokens: number;
}

/** One request that wants a backend server. */
export interface Demand {
  readonly requestId: string;
  readonly team: string;
  readonly service: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Null for services without a model. */
  readonly prompt: Prompt | null;
  /** Monotonic time by which its caller counts on an answer. */
  readonly objectiveAtMs: number;
  /** Milliseconds that a request of its route may take to its answer. */
  readonly objectiveMs: number;
  /** Monotonic time after which nobody waits for it. */
  readonly deadlineAtMs: number;
  /** Servers that it must not go to again. */
  readonly excluded: ReadonlySet<string>;
}

/** A generated token costs an engine as much as two that are read. */
const GENERATED_TOKEN_WEIGHT = 2;

/** Service that a request takes, as teams' shares are counted. */
export function costOf({ prompt }: Demand): number {
  if (prompt === null) return 1;
  return prompt.inputTokens + GENERATED_TOKEN_WEIGHT * prompt.outputTokens;
}

/** Parts that other requests may share. */
export function sharedParts(
  parts: readonly PromptPart[],
): readonly PromptPart[] {
  return parts.slice(0, -1);
}

/** Tokens that a running request keeps beyond what it shares. */
export function privateTokensOf({ parts, outputTokens }: Prompt): number {
  return (parts.at(-1)?.tokens ?? 0) + outputTokens;
}
