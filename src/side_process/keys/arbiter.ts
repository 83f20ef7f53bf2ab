/** Decides claims, so that at most one attempt per idempotency key starts. */

import type { Clock } from "../../common/clock.ts";
import type {
  Claim,
  ClaimAnswer,
  ClaimState,
  KeyRecord,
} from "../../protocol/mod.ts";
import type { KeyLeases } from "./key_leases.ts";
import { KEY_WINDOW_MS, type KeyMemory, NO_RESPONSE } from "./key_memory.ts";
import type { PeerKeyClient } from "./peer_key_client.ts";

/**
 * Number of lost peers up to which a missing record still proves that its key
 * is unused: a second process stores a copy of each record.
 */
const TOLERATED_LOSSES = 1;

/** Dependencies of an arbiter. */
export interface ArbiterDependencies {
  readonly clock: Clock;
  readonly leases: KeyLeases;
  readonly memory: KeyMemory;
  readonly peers: PeerKeyClient;
  /** Incarnation of this process. */
  readonly incarnation: string;
}

/** A claim, and the incarnation of the side process that makes it. */
export interface Claimant {
  readonly claim: Omit<Claim, "type" | "query">;
  readonly runner: string;
}

/** Arbiter of the key ranges whose leases this process holds. */
export class Arbiter {
  readonly #deps: ArbiterDependencies;
  /** Latest claim in progress per key; a further claim waits for it. */
  readonly #pending = new Map<string, Promise<unknown>>();

  constructor(deps: ArbiterDependencies) {
    this.#deps = deps;
  }

  /** Decides a claim; claims of one key are decided one after the other. */
  async decide(claimant: Claimant): Promise<Omit<ClaimAnswer, "query">> {
    const { key } = claimant.claim;
    const previous = this.#pending.get(key);
    const decided = (previous ?? Promise.resolve()).then(() =>
      this.#decide(claimant),
    );
    this.#pending.set(key, decided);
    const answer = await decided;
    if (this.#pending.get(key) === decided) this.#pending.delete(key);
    return answer;
  }

  async #decide(claimant: Claimant): Promise<Omit<ClaimAnswer, "query">> {
    const { leases, memory } = this.#deps;
    const { key, attempt, bodyHash } = claimant.claim;
    if (leases.remainingMs(key) === 0) return answer("not-arbiter", 0);
    const known = memory.get(key) ?? (await this.#queryPeers(key));
    if (known === "unknown") return answer("unknown", 0);
    const state =
      known === null ? "go" : await this.#claimState(known, claimant);
    if (state !== "go") {
      const stored = state === "answered" ? memory.get(key) : null;
      return { ...answer(state, 0), answer: stored?.answer ?? NO_RESPONSE };
    }
    const leaseMs = leases.remainingMs(key);
    if (leaseMs === 0) return answer("not-arbiter", 0);
    const { runner } = claimant;
    const running: KeyRecord = {
      ...{ key, attempt, bodyHash, runner },
      state: "running",
      answer: NO_RESPONSE,
    };
    memory.put(running);
    return answer("go", leaseMs);
  }

  /**
   * Asks the peers about a key that this process has no record of, unless it
   * has held the key's range for the whole key window. Returns null if the key
   * is surely unused, and "unknown" if a record may have been lost.
   */
  async #queryPeers(key: string): Promise<KeyRecord | "unknown" | null> {
    const { leases, memory, peers } = this.#deps;
    if (leases.heldMs(key) >= KEY_WINDOW_MS) return null;
    const asked = peers.incarnations.map((peer) => peers.query(peer, key));
    const answers = await Promise.all(asked);
    const found = answers.flatMap((one) => one?.records ?? []);
    const record =
      found.find(({ state }) => state !== "running") ?? found[0] ?? null;
    if (record !== null) {
      memory.put(record);
      return record;
    }
    const received = answers.filter((one) => one !== null);
    const memoriesMs = [
      memory.memoryMs,
      ...received.map((one) => one.memoryMs),
    ];
    const losses = [peers.losses, ...received.map((one) => one.losses)];
    const complete =
      received.length === answers.length &&
      Math.max(...losses) <= TOLERATED_LOSSES &&
      Math.max(...memoriesMs) >= KEY_WINDOW_MS;
    return complete ? null : "unknown";
  }

  async #claimState(
    known: KeyRecord,
    { claim }: Claimant,
  ): Promise<ClaimState> {
    if (known.bodyHash !== claim.bodyHash) return "mismatch";
    if (known.attempt === claim.attempt) return "go";
    const record =
      known.state === "running" ? await this.#queryRunner(known) : known;
    switch (record.state) {
      case "not-run":
        return "go";
      case "running":
      case "answered":
      case "unknown":
        return record.state;
      default:
        return record.state satisfies never;
    }
  }

  /**
   * Asks the process that runs an attempt for its state. The outcome is
   * unknown if that process is not connected or has no record.
   */
  async #queryRunner(known: KeyRecord): Promise<KeyRecord> {
    const { peers, memory, incarnation } = this.#deps;
    if (known.runner === incarnation) return known;
    const lost: KeyRecord = { ...known, state: "unknown" };
    if (!peers.incarnations.includes(known.runner)) return lost;
    const reply = await peers.query(known.runner, known.key);
    if (reply === null) return known;
    const record = reply.records[0] ?? lost;
    memory.put(record);
    return record;
  }
}

function answer(
  state: ClaimState,
  leaseMs: number,
): Omit<ClaimAnswer, "query"> {
  return { type: "claim-answer", state, leaseMs, answer: NO_RESPONSE };
}
