/** Decides after each attempt: answer, queue again, retry, or give up. */

import type { Failed, Refused } from "../protocol/mod.ts";
import type { CallerAnswer } from "./caller_answer.ts";
import type { CallerRequest } from "./caller_request.ts";
import { deadlinePassed, notRun, outcomeUnknown } from "./failure.ts";
import type { Decision, Outcome } from "./outcome.ts";
import { RetryBudget } from "./retry_budget.ts";

/** Failures that another attempt can't mend, with their statuses. */
const FINAL_STATUSES: Readonly<Record<string, number>> = {
  "key-in-use": 409,
  "key-mismatch": 422,
  "key-outcome-unknown": 502,
  "key-answer-not-kept": 502,
  "arbiter-unavailable": 503,
};

const REFUSAL_SENTENCES: Record<Refused["code"], string> = {
  busy: "Every backend server is busy",
  leaving: "The backend server is leaving",
  "unknown-attempt": "The request did not reach its side process",
  deadline: "The deadline had passed before the request started",
  quarantined: "The request crashed backend servers before",
};

/** Holds the retry budget of one router. */
export class Decider {
  readonly #retries = new RetryBudget();

  /** Notes a request, which earns a part of a retry. */
  earn(): void {
    this.#retries.earn();
  }

  /** Returns what to do after an attempt. */
  decide(
    request: CallerRequest,
    answer: CallerAnswer,
    outcome: Outcome,
  ): Decision {
    switch (outcome.type) {
      case "answered":
      case "caller-gone":
        return { type: "done" };
      case "deadline":
        return { type: "fail", failure: deadlinePassed("unknown") };
      case "refused":
        return this.#decideRefused(request, outcome);
      case "failed":
        return this.#decideFailed(request, answer, outcome);
      case "lost":
        return this.#decideLost(request, answer, {
          code: "side-process-lost",
          sentence: outcome.sentence,
        });
      default:
        return outcome satisfies never;
    }
  }

  #decideRefused({ deadline }: CallerRequest, refused: Refused): Decision {
    const { code, retryAfterMs } = refused;
    switch (code) {
      case "busy":
      case "leaving":
        return { type: "requeue", afterMs: retryAfterMs };
      case "unknown-attempt":
        if (this.#retries.spend()) return { type: "retry" };
        break;
      case "deadline":
        if (!deadline.expired) return { type: "requeue", afterMs: 0 };
        return { type: "fail", failure: deadlinePassed("not-run") };
      case "quarantined":
        break;
      default:
        code satisfies never;
    }
    const sentence = REFUSAL_SENTENCES[code];
    const failure = notRun(503, code, { sentence, retryAfterMs });
    return { type: "fail", failure };
  }

  #decideFailed(
    request: CallerRequest,
    answer: CallerAnswer,
    failed: Failed,
  ): Decision {
    const { outcome, code, sentence, retryAfterMs } = failed;
    const status = FINAL_STATUSES[code];
    if (status !== undefined) {
      const retry = { sentence, retryAfterMs };
      const failure = { ...notRun(status, code, retry), outcome };
      return { type: "fail", failure };
    }
    if (outcome === "not-run" && !answer.begun) {
      if (this.#retries.spend()) return { type: "retry" };
      const failure = notRun(503, code, { sentence, retryAfterMs });
      return { type: "fail", failure };
    }
    return this.#decideLost(request, answer, { code, sentence });
  }

  /** A request that may have run runs again only if it is idempotent. */
  #decideLost(
    { idempotent }: CallerRequest,
    answer: CallerAnswer,
    { code, sentence }: { readonly code: string; readonly sentence: string },
  ): Decision {
    const again = idempotent && !answer.begun && this.#retries.spend();
    if (again) return { type: "retry" };
    return { type: "fail", failure: outcomeUnknown(code, sentence) };
  }
}
