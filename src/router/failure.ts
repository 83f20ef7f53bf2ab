/** Failures that the router itself sends to callers. */

import type { FailedOutcome } from "../protocol/mod.ts";

/** What a caller is told if it gets no response from a backend server. */
export interface Failure {
  readonly status: number;
  /** Whether the request has run, as far as is known. */
  readonly outcome: FailedOutcome;
  /** Stable code for programs. */
  readonly code: string;
  /** Explanation for people. */
  readonly sentence: string;
  /** What the caller should do. */
  readonly advice: string;
  /** Value of Retry-After in milliseconds; null if a repeat doesn't help. */
  readonly retryAfterMs: number | null;
}

const RETRY_ADVICE = "Send the request again after Retry-After";
const CORRECT_REQUEST_ADVICE = "Correct the request";
const CHECK_FIRST_ADVICE =
  "It may have run: check its effect before you send it again";

/** Failure of a request that the caller must correct. */
export function badRequest(
  status: number,
  code: string,
  { sentence }: { readonly sentence: string },
): Failure {
  const outcome = "not-run";
  const advice = CORRECT_REQUEST_ADVICE;
  return { status, outcome, code, sentence, advice, retryAfterMs: null };
}

/** Failure of a request that was not run and may be sent again. */
export function notRun(
  status: number,
  code: string,
  options: { readonly sentence: string; readonly retryAfterMs: number },
): Failure {
  const outcome = "not-run";
  return { status, outcome, code, advice: RETRY_ADVICE, ...options };
}

/** Failure of a request that may or may not have run. */
export function outcomeUnknown(code: string, sentence: string): Failure {
  const outcome = "unknown";
  const advice = CHECK_FIRST_ADVICE;
  return { status: 502, outcome, code, sentence, advice, retryAfterMs: 1_000 };
}

/** Failure of a request whose deadline passed before its response ended. */
export function deadlinePassed(outcome: FailedOutcome): Failure {
  const sentence = "The deadline passed before the response was complete";
  const advice = outcome === "not-run" ? RETRY_ADVICE : CHECK_FIRST_ADVICE;
  const code = "deadline";
  return { status: 504, outcome, code, sentence, advice, retryAfterMs: 1_000 };
}

/** Response headers of a failure, without the request id. */
export function headersOf(failure: Failure): Record<string, string> {
  const headers: Record<string, string> = {
    "content-type": "application/json",
    "oriole-outcome": failure.outcome,
  };
  if (failure.retryAfterMs !== null) {
    const seconds = Math.max(1, Math.ceil(failure.retryAfterMs / 1_000));
    headers["retry-after"] = String(seconds);
  }
  return headers;
}

/** Response body of a failure, as JSON. */
export function bodyOf(failure: Failure): string {
  const { code, sentence: message, advice, outcome } = failure;
  return JSON.stringify({ error: { code, message, advice, outcome } });
}
