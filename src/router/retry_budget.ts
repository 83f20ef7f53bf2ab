/** Keeps retries a small share of requests. */

/** Retries earned by each request. */
const EARNED_PER_REQUEST = 0.1;
/** Retries that can be saved up. */
const LARGEST_BALANCE = 50;

/** Earns by requests, spends on retries. */
export class RetryBudget {
  #balance = LARGEST_BALANCE;

  /** Notes a request. */
  earn(): void {
    this.#balance = Math.min(
      LARGEST_BALANCE,
      this.#balance + EARNED_PER_REQUEST,
    );
  }

  /** Spends one retry; returns whether there was one. */
  spend(): boolean {
    if (this.#balance < 1) return false;
    this.#balance -= 1;
    return true;
  }
}
