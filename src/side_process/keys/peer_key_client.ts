/** What the keys need of the other side processes. */

import type {
  ClaimAnswer,
  KeyAnswer,
  KeyRecord,
  Run,
} from "../../protocol/mod.ts";

/** Questions to peers; null stands for no answer in time. */
export interface PeerKeyClient {
  /** Incarnations of the peers that are connected. */
  readonly connected: readonly string[];
  /** Peers that ended without handing over, within the key window. */
  readonly losses: number;
  /** Asks a peer, by instance, for a claim. */
  claim(
    instance: string,
    claim: { key: string; attempt: string; bodyHash: string },
  ): Promise<ClaimAnswer | null>;
  /** Asks a peer, by incarnation, what it knows of a key. */
  query(incarnation: string, key: string): Promise<KeyAnswer | null>;
  /** Has a record kept by one peer; false if no peer confirmed. */
  backUp(record: KeyRecord): Promise<boolean>;
  /** Tells a peer, by instance, how a key stands. */
  notify(instance: string, record: KeyRecord): void;
}

/** A keyed request that wants to start. */
export interface KeyedRun {
  readonly run: Run;
  /** Team and key in one name. */
  readonly key: string;
  readonly bodyHash: string;
}
