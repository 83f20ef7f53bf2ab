/** Limits retries to a small share of requests. */

/** Retries that each request adds to the budget. */
const RETRIES_PER_REQUEST = 0.1;
/** Largest number of unused retries that the budget holds. */
const MAX_BALANCE_RETRIES = 50;

/** Token bucket that requests fill and retries empty; it starts full. */
export class RetryBudget {
  #balanceRetries = MAX_BALANCE_RETRIES;

  /** Adds `RETRIES_PER_REQUEST` for one request. */
  deposit(): void {
    this.#balanceRetries = Math.min(
      MAX_BALANCE_RETRIES,
      this.#balanceRetries + RETRIES_PER_REQUEST,
    );
  }

  /** Takes one retry from the budget; returns false if none is left. */
  tryWithdraw(): boolean {
    if (this.#balanceRetries < 1) return false;
    this.#balanceRetries -= 1;
    return true;
  }
}
