/** What the prefill of a long prompt costs the streams that run beside it. */

/**
 * Share of the longest accepted pause that one prompt may be prefilled for. The
 * rest is for the generating steps and for what the network adds.
 */
const UNHARMED_SHARE = 0.7;

/** A prompt at an engine. */
export interface PromptAtEngine {
  /** Time that the engine takes to prefill it. */
  readonly prefillMs: number;
  /** Longest pause between events that is on time; null for any. */
  readonly eventGapMs: number | null;
}

/** Whether the prefill makes streams pause for longer than is on time. */
export function delaysStreams({
  prefillMs,
  eventGapMs,
}: PromptAtEngine): boolean {
  return eventGapMs !== null && prefillMs > eventGapMs * UNHARMED_SHARE;
}

/**
 * Cost in milliseconds of what the prefill does to the running streams: each one
 * that it makes late counts like a request that is late by its objective.
 */
export function paceCostMs(
  prompt: PromptAtEngine,
  {
    streams,
    objectiveMs,
  }: { readonly streams: number; readonly objectiveMs: number },
): number {
  return delaysStreams(prompt) ? streams * objectiveMs : 0;
}
