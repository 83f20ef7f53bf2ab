/**
 * Messages about idempotency keys.
 *
 * The arbiter of a key is the side process that holds the lease of the key's
 * range. It decides whether an attempt with the key may start.
 */

import type { Header } from "./run_messages.ts";

/** Requests permission from the arbiter of a key to start an attempt. */
export interface Claim {
  readonly type: "claim";
  readonly query: number;
  readonly key: string;
  readonly attempt: string;
  readonly bodyHash: string;
}

/** The arbiter's answer; the attempt may start at "go" only. */
export type ClaimState =
  | "go"
  | "running"
  | "answered"
  | "unknown"
  | "mismatch"
  | "not-arbiter";

/** Answers a claim. */
export interface ClaimAnswer {
  readonly type: "claim-answer";
  readonly query: number;
  readonly state: ClaimState;
  /** Time that the arbiter's lease lasts, from when the claim was sent. */
  readonly leaseMs: number;
  /** The stored response, if the key's state is "answered". */
  readonly answer: StoredResponse;
}

/** A response that is stored to be replayed for repeated requests. */
export interface StoredResponse {
  /** HTTP status; 0 when the response was too long to store. */
  readonly status: number;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
}

/** State of a request with an idempotency key. */
export type KeyState = "running" | "answered" | "not-run" | "unknown";

/** Record of a key at a side process. */
export interface KeyRecord {
  readonly key: string;
  readonly attempt: string;
  readonly bodyHash: string;
  readonly state: KeyState;
  /** Incarnation of the side process that runs or ran it. */
  readonly runner: string;
  readonly answer: StoredResponse;
}

/** Sends records to a peer, which confirms them if `query` is not 0. */
export interface KeyUpdate {
  readonly type: "key-update";
  readonly query: number;
  readonly records: readonly KeyRecord[];
  /** Time that the sender's records cover, if it sends all of them; else 0. */
  readonly memoryMs: number;
}

/** Confirms that a key update was stored. */
export interface KeyUpdateConfirmation {
  readonly type: "key-kept";
  readonly query: number;
}

/** Requests a side process's record of a key. */
export interface KeyQuery {
  readonly type: "key-query";
  readonly query: number;
  readonly key: string;
}

/** Answers a key query. */
export interface KeyAnswer {
  readonly type: "key-answer";
  readonly query: number;
  /** The record of the key; empty when there is none. */
  readonly records: readonly KeyRecord[];
  /** Time that the sender's records cover. */
  readonly memoryMs: number;
  /** Number of side processes that ended without sending their records. */
  readonly losses: number;
}
