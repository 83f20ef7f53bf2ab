/**
 * Refuses requests that have the cause of crashes: a circuit breaker per cause.
 *
 * A cause is refused for a time after its newest crash, then one request at a
 * time may try it. A sound response clears it; a crash refuses it for longer.
 */

import type { Clock } from "../common/clock.ts";
import {
  attribute,
  CAUSE_CRASHES,
  type CrashCause,
} from "./crash_attribution.ts";
import type { CrashEvidence } from "./crash_evidence.ts";
import type { StoredCrash } from "./crash_record.ts";

/** Refusal after the crashes that showed the cause; servers may be fixed then. */
const MIN_REFUSAL_MS = 60_000;
/** Longest refusal; each crash of a trial doubles it up to here. */
const MAX_REFUSAL_MS = 10 * 60_000;
/** Time after a trial in which its crash may still be found. */
const TRIAL_SETTLE_MS = 1_000;

interface Trial {
  /** The request that tries; null once it has ended. */
  holder: object | null;
  endedAtMs: number;
}

/** Decides which requests are refused, from the evidence of one process. */
export class CrashBreaker {
  readonly #clock: Clock;
  readonly #evidence: CrashEvidence;
  /** Lengthens refusals, so that not all routers try at once. */
  readonly #jitter: number;
  #causes: readonly CrashCause[] = [];
  #version = -1;
  readonly #trials = new Map<string, Trial>();

  /** @param options.random returns a number from 0 to 1 */
  constructor(
    clock: Clock,
    evidence: CrashEvidence,
    { random = Math.random }: { readonly random?: () => number } = {},
  ) {
    this.#clock = clock;
    this.#evidence = evidence;
    this.#jitter = 1 + random();
  }

  /** Causes that the evidence shows now. */
  get causes(): readonly CrashCause[] {
    const version = this.#evidence.candidatesVersion;
    if (this.#version === version) return this.#causes;
    this.#version = version;
    this.#causes = attribute(this.#evidence.candidates);
    const keys = new Set(this.#causes.map(keyOf));
    for (const key of this.#trials.keys())
      if (!keys.has(key)) this.#trials.delete(key);
    return this.#causes;
  }

  /**
   * Returns the cause for which a request is refused; null if it may be sent.
   *
   * @param holder identifies the request: it passes again while it tries
   */
  refusal(suspects: readonly string[], holder: object): CrashCause | null {
    const { causes } = this;
    if (causes.length === 0) return null;
    const own = new Set(suspects);
    const matching = causes.filter((cause) =>
      cause.suspects.every((one) => own.has(one)),
    );
    const refusing = matching.find((cause) => !this.#mayTry(cause, holder));
    if (refusing !== undefined) return refusing;
    for (const cause of matching)
      this.#trials.set(keyOf(cause), { holder, endedAtMs: 0 });
    return null;
  }

  #mayTry(cause: CrashCause, holder: object): boolean {
    const nowMs = this.#clock.monotonicMs();
    if (nowMs < refusedUntilMs(cause.crashes, this.#jitter)) return false;
    const trial = this.#trials.get(keyOf(cause));
    if (trial === undefined || trial.holder === holder) return true;
    return trial.holder === null && nowMs >= trial.endedAtMs + TRIAL_SETTLE_MS;
  }

  /** Ends the trials of a request: its response has ended. */
  endTrial(holder: object): void {
    for (const trial of this.#trials.values()) {
      if (trial.holder !== holder) continue;
      trial.holder = null;
      trial.endedAtMs = this.#clock.monotonicMs();
    }
  }
}

/** Returns the time until which a cause of these crashes is refused. */
function refusedUntilMs(
  crashes: readonly StoredCrash[],
  jitter: number,
): number {
  const timesMs = crashes.map(({ atMs }) => atMs).sort((a, b) => a - b);
  let refusalMs = MIN_REFUSAL_MS;
  let untilMs = Number.POSITIVE_INFINITY;
  for (const atMs of timesMs.slice(CAUSE_CRASHES - 1)) {
    // A crash after the end of a refusal is that of a trial.
    if (atMs > untilMs) refusalMs = Math.min(refusalMs * 2, MAX_REFUSAL_MS);
    untilMs = atMs + refusalMs;
  }
  return (timesMs.at(-1) ?? 0) + refusalMs * jitter;
}

function keyOf({ suspects }: CrashCause): string {
  return suspects.join();
}
