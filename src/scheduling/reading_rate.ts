/** How fast an engine reads prompts, learned from first tokens. */

/** Samples that decide, once there are as many. */
const MEMORY_SAMPLES = 20;
/** Samples with fewer tokens tell of fixed costs, not of the rate. */
export const SMALLEST_SAMPLE_TOKENS = 2_000;
/** A single sample moves the estimate within these factors. */
const SAMPLE_RANGE = 3;

/** Tokens a millisecond. */
export class ReadingRate {
  #tokensPerMs: number;
  /** Samples so far; what was stated counts as the first. */
  #samples = 1;

  constructor(firstTokensPerMs: number) {
    this.#tokensPerMs = firstTokensPerMs;
  }

  /** The present estimate. */
  get tokensPerMs(): number {
    return this.#tokensPerMs;
  }

  /** Learns that `tokens` were read in `elapsedMs`. */
  learn(tokens: number, elapsedMs: number): void {
    if (tokens < SMALLEST_SAMPLE_TOKENS || elapsedMs <= 0) return;
    const estimate = this.#tokensPerMs;
    const sample = Math.min(
      estimate * SAMPLE_RANGE,
      Math.max(estimate / SAMPLE_RANGE, tokens / elapsedMs),
    );
    this.#samples = Math.min(this.#samples + 1, MEMORY_SAMPLES);
    this.#tokensPerMs += (sample - estimate) / this.#samples;
  }
}
