/**
 * Token bucket that admits prompts at the engine's prefill rate.
 *
 * Engines interleave prefill with decoding: the more prompts wait for prefill,
 * the slower the running streams become. The rate is learned from the time to
 * the first token while other streams run.
 */

import type { Clock } from "../common/clock.ts";

/** Time at the refill rate after which an unused bucket is full. */
const BURST_MS = 250;

/** Prompt tokens that may be admitted; one request may overdraw the bucket. */
export class TokenBucket {
  readonly #clock: Clock;
  #tokensPerMs = 0;
  #availableTokens = 0;
  #refilledAtMs: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#refilledAtMs = clock.monotonicMs();
  }

  /** Whether the bucket is not overdrawn, so that a request may be admitted. */
  get hasTokens(): boolean {
    this.#refill();
    return this.#availableTokens >= 0;
  }

  /** Sets the refill rate; the first rate also fills the bucket. */
  setRate(tokensPerMs: number): void {
    this.#refill();
    if (this.#tokensPerMs === 0) this.#availableTokens = BURST_MS * tokensPerMs;
    this.#tokensPerMs = tokensPerMs;
  }

  /** Removes the tokens of an admitted request; the level may go below 0. */
  spend(tokens: number): void {
    this.#refill();
    this.#availableTokens -= tokens;
  }

  #refill(): void {
    const nowMs = this.#clock.monotonicMs();
    const refillTokens = (nowMs - this.#refilledAtMs) * this.#tokensPerMs;
    const capacityTokens = BURST_MS * this.#tokensPerMs;
    this.#availableTokens = Math.min(
      capacityTokens,
      this.#availableTokens + refillTokens,
    );
    this.#refilledAtMs = nowMs;
  }
}
