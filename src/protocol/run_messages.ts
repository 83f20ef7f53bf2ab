/**
 * Messages that carry requests and answers.
 *
 * An `attempt` names one try of one request at one side process. It is unique
 * for an incarnation of a router and never used again, so that a late message
 * can't be taken for another's.
 */

/** One header line. */
export type Header = readonly [name: string, value: string];

/** Asks a side process to run a request. */
export interface Run {
  readonly type: "run";
  readonly attempt: string;
  /** The grant that it binds; 0 for a request sent without one. */
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
  readonly remainingMs: number;
  /** The caller's estimate in cost units; 0 when it gave none. */
  readonly costHint: number;
  /** Requests of the team that still wait at the router. */
  readonly waiting: number;
}

/** Ends an attempt whose answer nobody waits for. */
export interface Cancel {
  readonly type: "cancel";
  readonly attempt: string;
}

/** Says up to which offset the caller has the answer. */
export interface Acknowledge {
  readonly type: "acknowledge";
  readonly attempt: string;
  readonly offset: number;
}

/** Says which whole answers have reached their callers. */
export interface Delivered {
  readonly type: "delivered";
  readonly attempts: readonly string[];
}

/** Asks, on a new connection, for an answer from an offset on. */
export interface Resume {
  readonly type: "resume";
  readonly attempt: string;
  readonly offset: number;
  /** Whether the head of the answer has arrived. */
  readonly head: boolean;
}

/** Says that an attempt did not run and will not. */
export interface Refused {
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

/** Status line and headers of an answer. */
export interface Head {
  readonly type: "head";
  readonly attempt: string;
  readonly status: number;
  readonly headers: readonly Header[];
}

/** A piece of an answer's body. */
export interface Data {
  readonly type: "data";
  readonly attempt: string;
  readonly offset: number;
  readonly bytes: Uint8Array;
}

/** Ends a whole answer of `offset` bytes. */
export interface End {
  readonly type: "end";
  readonly attempt: string;
  readonly offset: number;
}

/** What is known of an attempt that gave no whole answer. */
export type FailedOutcome = "not-run" | "unknown" | "ran";

/** Ends an attempt without a whole answer. */
export interface Failed {
  readonly type: "failed";
  readonly attempt: string;
  readonly outcome: FailedOutcome;
  readonly code: string;
  readonly sentence: string;
  readonly retryAfterMs: number;
}
