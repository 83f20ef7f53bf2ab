/** Requests about idempotency keys to the service's other side processes. */

import type {
  ClaimAnswer,
  KeyAnswer,
  KeyRecord,
  RunRequest,
} from "../../protocol/mod.ts";

/** Sends requests to peers; null stands for no answer in time. */
export interface PeerKeyClient {
  /** Incarnations of the connected peers. */
  readonly incarnations: readonly string[];
  /**
   * Number of peers whose records may be missing: those that ended within the
   * key window without a handover, and listed ones that are not connected.
   */
  readonly losses: number;
  /** Sends a claim to a peer, which is named by its instance. */
  claim(
    instance: string,
    claim: { key: string; attempt: string; bodyHash: string },
  ): Promise<ClaimAnswer | null>;
  /** Requests a peer's record of a key; the peer is named by incarnation. */
  query(incarnation: string, key: string): Promise<KeyAnswer | null>;
  /** Stores a record at one peer; false if no peer has confirmed it. */
  backUp(record: KeyRecord): Promise<boolean>;
  /** Sends a record to a peer, named by instance, without confirmation. */
  notify(instance: string, record: KeyRecord): void;
}

/** A run with an idempotency key. */
export interface KeyedRun {
  readonly run: RunRequest;
  /** Hash of the team and the caller's key. */
  readonly key: string;
  /** Hash of the method, the path and the body. */
  readonly bodyHash: string;
}
