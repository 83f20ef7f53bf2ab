/**
 * Decides what follows an attempt: the request is done, goes back to the
 * queue, is retried, or fails.
 */

import type { AttemptFailure, AttemptRefusal } from "../protocol/mod.ts";
import type { AttemptOutcome, RetryDecision } from "./attempt_outcome.ts";
import type { CallerRequest } from "./caller_request.ts";
import type { CallerResponse } from "./caller_response.ts";
import { deadlinePassed, notRun, outcomeUnknown } from "./failure.ts";
import { RetryBudget } from "./retry_budget.ts";

/** HTTP status by code, for failures that another attempt can't resolve. */
const NON_RETRYABLE_STATUSES: Readonly<Record<string, number>> = {
  "key-in-use": 409,
  "key-mismatch": 422,
  "key-outcome-unknown": 502,
  "key-answer-not-kept": 502,
  "arbiter-unavailable": 503,
};

const REFUSAL_MESSAGES: Record<AttemptRefusal["code"], string> = {
  busy: "Every backend server is busy",
  leaving: "The backend server is shutting down",
  "unknown-attempt": "The request did not reach the side process",
  deadline: "The deadline passed before the request started",
  quarantined:
    "The request is quarantined: earlier runs of it crashed backend servers",
};

/** Retry policy of one router, limited by its retry budget. */
export class RetryPolicy {
  readonly #retryBudget = new RetryBudget();

  /** Credits the retry budget for a new request. */
  recordRequest(): void {
    this.#retryBudget.deposit();
  }

  /** Returns what to do after an attempt. */
  decide(
    request: CallerRequest,
    response: CallerResponse,
    outcome: AttemptOutcome,
  ): RetryDecision {
    switch (outcome.type) {
      case "answered":
      case "caller-gone":
        return { type: "done" };
      case "deadline":
        return { type: "fail", failure: deadlinePassed("unknown") };
      case "refused":
        return this.#decideRefused(request, outcome);
      case "failed":
        return this.#decideFailed(request, response, outcome);
      case "lost":
        return this.#decideMayHaveRun(request, response, {
          code: "side-process-lost",
          sentence: outcome.sentence,
        });
      default:
        return outcome satisfies never;
    }
  }

  #decideRefused(
    { deadline }: CallerRequest,
    refused: AttemptRefusal,
  ): RetryDecision {
    const { code, retryAfterMs } = refused;
    switch (code) {
      case "busy":
      case "leaving":
        return { type: "requeue", afterMs: retryAfterMs };
      case "unknown-attempt":
        if (this.#retryBudget.tryWithdraw()) return { type: "retry" };
        break;
      case "deadline":
        if (!deadline.expired) return { type: "requeue", afterMs: 0 };
        return { type: "fail", failure: deadlinePassed("not-run") };
      case "quarantined":
        break;
      default:
        code satisfies never;
    }
    const sentence = REFUSAL_MESSAGES[code];
    const failure = notRun(503, code, { sentence, retryAfterMs });
    return { type: "fail", failure };
  }

  #decideFailed(
    request: CallerRequest,
    response: CallerResponse,
    failed: AttemptFailure,
  ): RetryDecision {
    const { outcome, code, sentence, retryAfterMs } = failed;
    const status = NON_RETRYABLE_STATUSES[code];
    if (status !== undefined) {
      const retry = { sentence, retryAfterMs };
      const failure = { ...notRun(status, code, retry), outcome };
      return { type: "fail", failure };
    }
    if (outcome === "not-run" && !response.headersSent) {
      if (this.#retryBudget.tryWithdraw()) return { type: "retry" };
      const failure = notRun(503, code, { sentence, retryAfterMs });
      return { type: "fail", failure };
    }
    return this.#decideMayHaveRun(request, response, { code, sentence });
  }

  /**
   * Retries a request that may have run only if it is idempotent and nothing
   * of a response has been sent to the caller.
   */
  #decideMayHaveRun(
    { idempotent }: CallerRequest,
    response: CallerResponse,
    { code, sentence }: { readonly code: string; readonly sentence: string },
  ): RetryDecision {
    const shouldRetry =
      idempotent && !response.headersSent && this.#retryBudget.tryWithdraw();
    if (shouldRetry) return { type: "retry" };
    return { type: "fail", failure: outcomeUnknown(code, sentence) };
  }
}
