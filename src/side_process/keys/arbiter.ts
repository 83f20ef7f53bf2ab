/** Answers claims: at most one attempt of a key may start. */

import type { Clock } from "../../common/clock.ts";
import type {
  Claim,
  ClaimAnswer,
  ClaimState,
  KeyRecord,
} from "../../protocol/mod.ts";
import type { KeyLeases } from "./key_leases.ts";
import { KEY_WINDOW_MS, type KeyMemory, NO_ANSWER } from "./key_memory.ts";
import type { PeerKeys } from "./peer_keys.ts";

/** Losses of memory that the second copy of a record makes up for. */
const LOSSES_COVERED = 1;

/** What an arbiter works with. */
export interface ArbiterParts {
  readonly clock: Clock;
  readonly leases: KeyLeases;
  readonly memory: KeyMemory;
  readonly peers: PeerKeys;
  /** Incarnation of this process. */
  readonly incarnation: string;
}

/** A claim with the process that makes it. */
export interface Claimant {
  readonly claim: Omit<Claim, "type" | "query">;
  readonly runner: string;
}

/** Arbiter of the ranges that this process holds. */
export class Arbiter {
  readonly #parts: ArbiterParts;
  /** Claims under way; a second one of a key waits for the first. */
  readonly #pending = new Map<string, Promise<unknown>>();

  constructor(parts: ArbiterParts) {
    this.#parts = parts;
  }

  /** Decides on a claim. */
  async decide(claimant: Claimant): Promise<Omit<ClaimAnswer, "query">> {
    const { key } = claimant.claim;
    const before = this.#pending.get(key);
    const decided = (before ?? Promise.resolve()).then(() =>
      this.#decide(claimant),
    );
    this.#pending.set(key, decided);
    const answer = await decided;
    if (this.#pending.get(key) === decided) this.#pending.delete(key);
    return answer;
  }

  async #decide(claimant: Claimant): Promise<Omit<ClaimAnswer, "query">> {
    const { leases, memory } = this.#parts;
    const { key, attempt, bodyHash } = claimant.claim;
    if (leases.remainingMs(key) === 0) return answer("not-arbiter", 0);
    const known = memory.get(key) ?? (await this.#ask(key));
    if (known === "unknown") return answer("unknown", 0);
    const state = known === null ? "go" : await this.#stateOf(known, claimant);
    if (state !== "go") {
      const stored = state === "answered" ? memory.get(key) : null;
      return { ...answer(state, 0), answer: stored?.answer ?? NO_ANSWER };
    }
    const leaseMs = leases.remainingMs(key);
    if (leaseMs === 0) return answer("not-arbiter", 0);
    const { runner } = claimant;
    const running: KeyRecord = {
      ...{ key, attempt, bodyHash, runner },
      state: "running",
      answer: NO_ANSWER,
    };
    memory.put(running);
    return answer("go", leaseMs);
  }

  /** Asks the others about a key that may be older than this memory. */
  async #ask(key: string): Promise<KeyRecord | "unknown" | null> {
    const { leases, memory, peers } = this.#parts;
    if (leases.heldMs(key) >= KEY_WINDOW_MS) return null;
    const asked = peers.connected.map((peer) => peers.query(peer, key));
    const answers = await Promise.all(asked);
    const found = answers.flatMap((one) => one?.records ?? []);
    const record =
      found.find(({ state }) => state !== "running") ?? found[0] ?? null;
    if (record !== null) {
      memory.put(record);
      return record;
    }
    const heard = answers.filter((one) => one !== null);
    const reaches = [memory.memoryMs, ...heard.map((one) => one.memoryMs)];
    const losses = [peers.losses, ...heard.map((one) => one.losses)];
    const complete =
      heard.length === answers.length &&
      Math.max(...losses) <= LOSSES_COVERED &&
      Math.max(...reaches) >= KEY_WINDOW_MS;
    return complete ? null : "unknown";
  }

  async #stateOf(known: KeyRecord, { claim }: Claimant): Promise<ClaimState> {
    if (known.bodyHash !== claim.bodyHash) return "mismatch";
    if (known.attempt === claim.attempt) return "go";
    const record =
      known.state === "running" ? await this.#askRunner(known) : known;
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

  /** A runner that has gone leaves the outcome unknown. */
  async #askRunner(known: KeyRecord): Promise<KeyRecord> {
    const { peers, memory, incarnation } = this.#parts;
    if (known.runner === incarnation) return known;
    const lost: KeyRecord = { ...known, state: "unknown" };
    if (!peers.connected.includes(known.runner)) return lost;
    const told = await peers.query(known.runner, known.key);
    if (told === null) return known;
    const record = told.records[0] ?? lost;
    memory.put(record);
    return record;
  }
}

function answer(
  state: ClaimState,
  leaseMs: number,
): Omit<ClaimAnswer, "query"> {
  return { type: "claim-answer", state, leaseMs, answer: NO_ANSWER };
}
