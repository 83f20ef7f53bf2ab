/** Lets a keyed request start at most once in the fleet. */

import { createHash } from "node:crypto";
import type { Clock } from "../../common/clock.ts";
import { Deadline } from "../../common/deadline.ts";
import type {
  ClaimAnswer,
  KeyRecord,
  KeyState,
  Run,
  StoredAnswer,
} from "../../protocol/mod.ts";
import type { Arbiter } from "./arbiter.ts";
import type { KeyLeases } from "./key_leases.ts";
import { type KeyMemory, NO_ANSWER } from "./key_memory.ts";
import type { KeyedRun, PeerKeys } from "./peer_keys.ts";

/** How long an arbiter is looked for. */
const SEARCH_MS = 1_000;
/** Left of a lease at a start; covers a pause between check and start. */
const START_MARGIN_MS = 500;
/** Longest answer that is kept for repeats. */
export const ANSWER_LIMIT_BYTES = 64 * 1024;

/** Whether a keyed request may start. */
export type KeyVerdict =
  | { readonly type: "start" }
  | { readonly type: "replay"; readonly answer: StoredAnswer }
  | {
      readonly type: "refuse";
      readonly outcome: "not-run" | "unknown" | "ran";
      readonly code: string;
      readonly sentence: string;
      readonly retryAfterMs: number;
    };

/** What the guard works with. */
export interface KeyGuardParts {
  readonly clock: Clock;
  readonly leases: KeyLeases;
  readonly memory: KeyMemory;
  readonly arbiter: Arbiter;
  readonly peers: PeerKeys;
  readonly instance: string;
  readonly incarnation: string;
}

/** Claims keys before starts, and tells how they ended. */
export class KeyGuard {
  readonly #parts: KeyGuardParts;

  constructor(parts: KeyGuardParts) {
    this.#parts = parts;
  }

  /** Asks the key's arbiter; the caller starts at once on `start`. */
  async claim(run: Run): Promise<KeyVerdict> {
    const keyed = toKeyed(run);
    const deadline = new Deadline(this.#parts.clock, SEARCH_MS);
    for (;;) {
      const sentMs = this.#parts.clock.monotonicMs();
      const claimed = await this.#ask(keyed);
      if (claimed !== null && claimed.state !== "not-arbiter") {
        const verdict = await this.#verdict(keyed, claimed, sentMs);
        if (verdict !== null) return verdict;
      }
      if (deadline.expired) return UNAVAILABLE;
      await this.#parts.leases.refresh(keyed.key);
    }
  }

  /** Keeps how a keyed request ended, and tells its arbiter. */
  settle(run: Run, state: KeyState, answer: StoredAnswer): void {
    const { memory, leases, peers, instance } = this.#parts;
    const record = this.#record(toKeyed(run), state, answer);
    memory.put(record);
    const holder = leases.holder(record.key);
    if (holder !== null && holder.instance !== instance) {
      peers.tell(holder.instance, record);
    }
  }

  async #ask({
    key,
    run,
    bodyHash,
  }: KeyedRun): Promise<Omit<ClaimAnswer, "query"> | null> {
    const { leases, arbiter, peers, instance, incarnation } = this.#parts;
    const claim = { key, attempt: run.attempt, bodyHash };
    if (leases.remainingMs(key) > 0) {
      return await arbiter.decide({ claim, runner: incarnation });
    }
    const holder = leases.holder(key);
    if (holder === null || holder.instance === instance) return null;
    return await peers.claim(holder.instance, claim);
  }

  /** Returns null if the claim came too late to be used. */
  async #verdict(
    keyed: KeyedRun,
    { state, leaseMs, answer }: Omit<ClaimAnswer, "query">,
    sentMs: number,
  ): Promise<KeyVerdict | null> {
    switch (state) {
      case "go":
        return await this.#start(keyed, sentMs + leaseMs);
      case "answered":
        return answer.status === 0 ? NOT_KEPT : { type: "replay", answer };
      case "running":
        return IN_USE;
      case "unknown":
        return UNKNOWN;
      case "mismatch":
        return MISMATCH;
      case "not-arbiter":
        return null;
      default:
        return state satisfies never;
    }
  }

  /** Two processes remember a key before it starts, this one among them. */
  async #start(keyed: KeyedRun, untilMs: number): Promise<KeyVerdict | null> {
    const { memory, peers, leases, clock } = this.#parts;
    const record = this.#record(keyed, "running", NO_ANSWER);
    memory.put(record);
    const alone = leases.remainingMs(keyed.key) > 0;
    if (alone && peers.connected.length > 0) {
      const backedUp = await peers.backUp(record);
      if (!backedUp) return this.#giveBack(keyed);
    }
    // A pause must not carry this process past the arbiter's lease.
    if (untilMs - clock.monotonicMs() < START_MARGIN_MS) {
      return this.#giveBack(keyed);
    }
    return { type: "start" };
  }

  #giveBack({ run }: KeyedRun): KeyVerdict {
    this.settle(run, "not-run", NO_ANSWER);
    return UNAVAILABLE;
  }

  #record(
    { key, run, bodyHash }: KeyedRun,
    state: KeyState,
    answer: StoredAnswer,
  ): KeyRecord {
    const { attempt } = run;
    const runner = this.#parts.incarnation;
    return { key, attempt, bodyHash, state, runner, answer };
  }
}

function toKeyed(run: Run): KeyedRun {
  const key = hash(`${run.team}\n${run.idempotencyKey}`);
  const bodyHash = hash(`${run.method} ${run.path}\n`, run.body);
  return { run, key, bodyHash };
}

function hash(...parts: (string | Uint8Array)[]): string {
  const digest = createHash("sha256");
  for (const part of parts) digest.update(part);
  return digest.digest("base64url").slice(0, 22);
}

const UNAVAILABLE: KeyVerdict = {
  type: "refuse",
  outcome: "not-run",
  code: "arbiter-unavailable",
  sentence: "Nobody can tell now whether the key was used before",
  retryAfterMs: 5_000,
};

const IN_USE: KeyVerdict = {
  type: "refuse",
  outcome: "not-run",
  code: "key-in-use",
  sentence: "A request with the same key is still running",
  retryAfterMs: 1_000,
};

const UNKNOWN: KeyVerdict = {
  type: "refuse",
  outcome: "unknown",
  code: "key-outcome-unknown",
  sentence: "The key was used, and nobody knows how that request ended",
  retryAfterMs: 60_000,
};

const MISMATCH: KeyVerdict = {
  type: "refuse",
  outcome: "not-run",
  code: "key-mismatch",
  sentence: "The key was used with another request",
  retryAfterMs: 60_000,
};

const NOT_KEPT: KeyVerdict = {
  type: "refuse",
  outcome: "ran",
  code: "key-answer-not-kept",
  sentence: "The request ran; its answer was too long to be kept",
  retryAfterMs: 60_000,
};
