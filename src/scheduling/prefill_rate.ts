/** Estimates an engine's prefill rate from the times to first tokens. */

/** Number of samples that the running average spans at most. */
const MAX_COUNTED_SAMPLES = 20;
/** Samples with fewer tokens reflect fixed costs rather than the rate. */
export const SMALLEST_SAMPLE_TOKENS = 2_000;
/** A sample counts as at most this factor above or below the estimate. */
const MAX_SAMPLE_FACTOR = 3;

/** Running estimate of a prefill rate, in tokens/ms. */
export class PrefillRate {
  #tokensPerMs: number;
  /** Samples so far; the configured rate counts as the first. */
  #samples = 1;

  constructor(initialTokensPerMs: number) {
    this.#tokensPerMs = initialTokensPerMs;
  }

  /** The current estimate. */
  get tokensPerMs(): number {
    return this.#tokensPerMs;
  }

  /** Adds a sample: `tokens` were prefilled in `elapsedMs`. */
  addSample(tokens: number, elapsedMs: number): void {
    if (tokens < SMALLEST_SAMPLE_TOKENS || elapsedMs <= 0) return;
    const estimate = this.#tokensPerMs;
    const sample = Math.min(
      estimate * MAX_SAMPLE_FACTOR,
      Math.max(estimate / MAX_SAMPLE_FACTOR, tokens / elapsedMs),
    );
    this.#samples = Math.min(this.#samples + 1, MAX_COUNTED_SAMPLES);
    this.#tokensPerMs += (sample - estimate) / this.#samples;
  }
}
