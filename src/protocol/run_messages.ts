/**
 * Messages that carry requests and responses.
 *
 * An `attempt` identifies one try of one request at one side process. It is
 * unique within an incarnation of a router and never reused, so that a late
 * message can't be matched to another attempt.
 */

/** One HTTP header. */
export type Header = readonly [name: string, value: string];

/** Requests a side process to run a request. */
export interface RunRequest {
  readonly type: "run";
  readonly attempt: string;
  /** The grant that it uses; 0 for a request that is sent without one. */
  readonly grant: number;
  readonly team: string;
  readonly kind: string;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  readonly idempotent: boolean;
  /** Empty when the caller gave none. */
  readonly idempotencyKey: string;
  /** Time left until the request's deadline. */
  readonly remainingMs: number;
  /** The caller's estimate in cost units; 0 when it gave none. */
  readonly costHint: number;
  /** Requests of the team that are still waiting at the router. */
  readonly waiting: number;
}

/** Cancels an attempt whose response is no longer needed. */
export interface Cancellation {
  readonly type: "cancel";
  readonly attempt: string;
}

/** Confirms that the caller has received the response up to an offset. */
export interface Acknowledgement {
  readonly type: "acknowledge";
  readonly attempt: string;
  readonly offset: number;
}

/** Confirms that callers have received the complete responses of attempts. */
export interface DeliveryConfirmation {
  readonly type: "delivered";
  readonly attempts: readonly string[];
}

/** Requests, on a new connection, the rest of a response from an offset. */
export interface ResumeRequest {
  readonly type: "resume";
  readonly attempt: string;
  readonly offset: number;
  /** Whether the status and headers of the response have arrived. */
  readonly head: boolean;
}

/** Reports that an attempt did not run and will not run. */
export interface AttemptRefusal {
  readonly type: "refused";
  readonly attempt: string;
  readonly code: RefusalCode;
  readonly retryAfterMs: number;
}

/** Why an attempt did not run. */
export type RefusalCode =
  | "busy"
  | "leaving"
  | "unknown-attempt"
  | "deadline"
  | "quarantined";

/** Status line and headers of a response. */
export interface Head {
  readonly type: "head";
  readonly attempt: string;
  readonly status: number;
  readonly headers: readonly Header[];
}

/** A piece of a response's body. */
export interface Data {
  readonly type: "data";
  readonly attempt: string;
  readonly offset: number;
  readonly bytes: Uint8Array;
}

/** Ends a complete response; `offset` is its length in bytes. */
export interface End {
  readonly type: "end";
  readonly attempt: string;
  readonly offset: number;
}

/** Whether an attempt without a complete response ran at the backend server. */
export type FailedOutcome = "not-run" | "unknown" | "ran";

/** Ends an attempt without a complete response. */
export interface AttemptFailure {
  readonly type: "failed";
  readonly attempt: string;
  readonly outcome: FailedOutcome;
  readonly code: string;
  readonly sentence: string;
  readonly retryAfterMs: number;
}
