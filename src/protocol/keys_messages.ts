/** Messages about idempotency keys. */

import type { Header } from "./run_messages.ts";

/** Asks the arbiter of a key to let an attempt start. */
export interface Claim {
  readonly type: "claim";
  readonly query: number;
  readonly key: string;
  readonly attempt: string;
  readonly bodyHash: string;
}

/** What the arbiter knows of a key. */
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
  /** How long the lease holds, counted from when the claim was sent. */
  readonly leaseMs: number;
  /** Stored answer of a key that was answered. */
  readonly answer: StoredAnswer;
}

/** An answer as it is kept for repeats. */
export interface StoredAnswer {
  /** 0 when the answer was too long to keep. */
  readonly status: number;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
}

/** How a keyed request stands. */
export type KeyState = "running" | "answered" | "not-run" | "unknown";

/** What a side process remembers of a key. */
export interface KeyRecord {
  readonly key: string;
  readonly attempt: string;
  readonly bodyHash: string;
  readonly state: KeyState;
  /** Incarnation of the side process that runs or ran it. */
  readonly runner: string;
  readonly answer: StoredAnswer;
}

/** Hands records over; answered if `query` is not 0. */
export interface KeyUpdate {
  readonly type: "key-update";
  readonly query: number;
  readonly records: readonly KeyRecord[];
  /** How far back the sender's memory reaches, if all of it is handed over. */
  readonly memoryMs: number;
}

/** Says that a key update is kept. */
export interface KeyKept {
  readonly type: "key-kept";
  readonly query: number;
}

/** Asks a side process what it knows of a key. */
export interface KeyQuery {
  readonly type: "key-query";
  readonly query: number;
  readonly key: string;
}

/** Answers a key query. */
export interface KeyAnswer {
  readonly type: "key-answer";
  readonly query: number;
  /** Empty when nothing is known. */
  readonly records: readonly KeyRecord[];
  readonly memoryMs: number;
  /** Side processes that ended without handing their keys over. */
  readonly losses: number;
}
