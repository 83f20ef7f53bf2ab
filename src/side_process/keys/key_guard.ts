/** Starts a request with an idempotency key at most once in the fleet. */

import { createHash } from "node:crypto";
import type { Clock } from "../../common/clock.ts";
import { Deadline } from "../../common/deadline.ts";
import type {
  ClaimAnswer,
  KeyRecord,
  KeyState,
  RunRequest,
  StoredResponse,
} from "../../protocol/mod.ts";
import type { Arbiter } from "./arbiter.ts";
import type { KeyLeases } from "./key_leases.ts";
import { type KeyMemory, NO_RESPONSE } from "./key_memory.ts";
import type { KeyedRun, PeerKeyClient } from "./peer_key_client.ts";

/** Time after which a claim gives up looking for the key's arbiter. */
const CLAIM_TIMEOUT_MS = 1_000;
/**
 * Time that the arbiter's lease must still hold at a start. Covers a pause of
 * the process between this check and the start.
 */
const MIN_LEASE_AT_START_MS = 500;
/** Longest response body that is stored for repeated requests. */
export const RESPONSE_LIMIT_BYTES = 64 * 1024;

/** Whether a request with an idempotency key may start. */
export type StartDecision =
  | { readonly type: "start" }
  | { readonly type: "replay"; readonly response: StoredResponse }
  | {
      readonly type: "refuse";
      readonly outcome: "not-run" | "unknown" | "ran";
      readonly code: string;
      readonly sentence: string;
      readonly retryAfterMs: number;
    };

/** Dependencies of the guard. */
export interface KeyGuardDependencies {
  readonly clock: Clock;
  readonly leases: KeyLeases;
  readonly memory: KeyMemory;
  readonly arbiter: Arbiter;
  readonly peers: PeerKeyClient;
  readonly instance: string;
  readonly incarnation: string;
}

/** Claims keys before requests start, and records how the requests ended. */
export class KeyGuard {
  readonly #deps: KeyGuardDependencies;

  constructor(deps: KeyGuardDependencies) {
    this.#deps = deps;
  }

  /**
   * Asks the key's arbiter whether a run may start, and retries while no
   * arbiter is found. On `start` the caller must start the run at once: the
   * arbiter's lease covers only a short pause.
   */
  async claim(run: RunRequest): Promise<StartDecision> {
    const keyed = toKeyedRun(run);
    const deadline = new Deadline(this.#deps.clock, CLAIM_TIMEOUT_MS);
    for (;;) {
      const sentMs = this.#deps.clock.monotonicMs();
      const answer = await this.#sendClaim(keyed);
      if (answer !== null && answer.state !== "not-arbiter") {
        const decision = await this.#toDecision(keyed, answer, sentMs);
        if (decision !== null) return decision;
      }
      if (deadline.expired) return ARBITER_UNAVAILABLE;
      await this.#deps.leases.refresh(keyed.key);
    }
  }

  /** Stores how a request ended, and sends it to the key's arbiter. */
  recordOutcome(
    run: RunRequest,
    state: KeyState,
    response: StoredResponse,
  ): void {
    const { memory, leases, peers, instance } = this.#deps;
    const record = this.#record(toKeyedRun(run), state, response);
    memory.put(record);
    const holder = leases.holder(record.key);
    if (holder !== null && holder.instance !== instance) {
      peers.notify(holder.instance, record);
    }
  }

  async #sendClaim({
    key,
    run,
    bodyHash,
  }: KeyedRun): Promise<Omit<ClaimAnswer, "query"> | null> {
    const { leases, arbiter, peers, instance, incarnation } = this.#deps;
    const claim = { key, attempt: run.attempt, bodyHash };
    if (leases.remainingMs(key) > 0) {
      return await arbiter.decide({ claim, runner: incarnation });
    }
    const holder = leases.holder(key);
    if (holder === null || holder.instance === instance) return null;
    return await peers.claim(holder.instance, claim);
  }

  /** Returns null if the process that answered is not the key's arbiter. */
  async #toDecision(
    keyed: KeyedRun,
    { state, leaseMs, answer: response }: Omit<ClaimAnswer, "query">,
    sentMs: number,
  ): Promise<StartDecision | null> {
    switch (state) {
      case "go":
        return await this.#start(keyed, sentMs + leaseMs);
      case "answered":
        return response.status === 0
          ? RESPONSE_NOT_KEPT
          : { type: "replay", response };
      case "running":
        return KEY_IN_USE;
      case "unknown":
        return OUTCOME_UNKNOWN;
      case "mismatch":
        return KEY_MISMATCH;
      case "not-arbiter":
        return null;
      default:
        return state satisfies never;
    }
  }

  /**
   * Stores the record here before the start. If this process is the arbiter
   * too, a peer must store a copy, so that two processes know the key.
   */
  async #start(
    keyed: KeyedRun,
    untilMs: number,
  ): Promise<StartDecision | null> {
    const { memory, peers, leases, clock } = this.#deps;
    const record = this.#record(keyed, "running", NO_RESPONSE);
    memory.put(record);
    const isArbiter = leases.remainingMs(keyed.key) > 0;
    if (isArbiter && peers.incarnations.length > 0) {
      const hasBackup = await peers.backUp(record);
      if (!hasBackup) return this.#withdrawClaim(keyed);
    }
    // After the lease another arbiter may let a second attempt start, so a
    // pause must not delay the start until then.
    if (untilMs - clock.monotonicMs() < MIN_LEASE_AT_START_MS) {
      return this.#withdrawClaim(keyed);
    }
    return { type: "start" };
  }

  /** Records that the claimed run did not start, and refuses it. */
  #withdrawClaim({ run }: KeyedRun): StartDecision {
    this.recordOutcome(run, "not-run", NO_RESPONSE);
    return ARBITER_UNAVAILABLE;
  }

  #record(
    { key, run, bodyHash }: KeyedRun,
    state: KeyState,
    response: StoredResponse,
  ): KeyRecord {
    const { attempt } = run;
    const runner = this.#deps.incarnation;
    return { key, attempt, bodyHash, state, runner, answer: response };
  }
}

function toKeyedRun(run: RunRequest): KeyedRun {
  const key = hash(`${run.team}\n${run.idempotencyKey}`);
  const bodyHash = hash(`${run.method} ${run.path}\n`, run.body);
  return { run, key, bodyHash };
}

function hash(...parts: (string | Uint8Array)[]): string {
  const digest = createHash("sha256");
  for (const part of parts) digest.update(part);
  return digest.digest("base64url").slice(0, 22);
}

const ARBITER_UNAVAILABLE: StartDecision = {
  type: "refuse",
  outcome: "not-run",
  code: "arbiter-unavailable",
  sentence: "Could not find out whether the idempotency key was used before",
  retryAfterMs: 5_000,
};

const KEY_IN_USE: StartDecision = {
  type: "refuse",
  outcome: "not-run",
  code: "key-in-use",
  sentence: "A request with the same idempotency key is still running",
  retryAfterMs: 1_000,
};

const OUTCOME_UNKNOWN: StartDecision = {
  type: "refuse",
  outcome: "unknown",
  code: "key-outcome-unknown",
  sentence: "The idempotency key was used; that request's outcome is unknown",
  retryAfterMs: 60_000,
};

const KEY_MISMATCH: StartDecision = {
  type: "refuse",
  outcome: "not-run",
  code: "key-mismatch",
  sentence: "The idempotency key was used with a different request",
  retryAfterMs: 60_000,
};

const RESPONSE_NOT_KEPT: StartDecision = {
  type: "refuse",
  outcome: "ran",
  code: "key-answer-not-kept",
  sentence: "The request ran; its response was too long to be stored",
  retryAfterMs: 60_000,
};
