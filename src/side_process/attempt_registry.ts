/**
 * Attempts that were started or refused here, by name.
 *
 * They are remembered for a while after their end, because a resume, a cancel
 * or a late run message may still name them.
 */

import type { Clock } from "../common/clock.ts";
import type { AttemptRefusal, RefusalCode } from "../protocol/mod.ts";
import type { Attempt, ResponseReceiver } from "./attempt.ts";

/** Time for which a refusal or an ended attempt is remembered. */
const RETENTION_MS = 120_000;
/** Time for which a disconnected router may come back for a response. */
const DETACHED_TIMEOUT_MS = 30_000;

interface Refusal {
  readonly message: AttemptRefusal;
  /** Monotonic time of the refusal. */
  readonly atMs: number;
}

interface StartedAttempt {
  readonly attempt: Attempt;
  /** Router that asked for the run, as `instance/incarnation`. */
  readonly router: string;
  /** When the router's connection closed; null while it is connected. */
  detachedSinceMs: number | null;
  /** When a sweep first found the attempt ended; null before. */
  endedAtMs: number | null;
}

/** Registry of attempts. A refused attempt can never start later. */
export class AttemptRegistry {
  readonly #clock: Clock;
  readonly #started = new Map<string, StartedAttempt>();
  readonly #refused = new Map<string, Refusal>();
  /** When each attempt's response was delivered in full. */
  readonly #delivered = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Started attempts that have no result yet. */
  get inProgress(): Attempt[] {
    return [...this.#started.values()]
      .map(({ attempt }) => attempt)
      .filter(({ result }) => result === null);
  }

  /** Whether a connected router still waits for a response or a part of it. */
  get hasUndelivered(): boolean {
    return [...this.#started.values()].some(
      ({ attempt, detachedSinceMs }) =>
        !attempt.finished && detachedSinceMs === null,
    );
  }

  /** Returns an attempt that was started here; null if unknown or dropped. */
  get(name: string): Attempt | null {
    return this.#started.get(name)?.attempt ?? null;
  }

  /** Returns the recorded refusal of an attempt; null if there is none. */
  refusal(name: string): AttemptRefusal | null {
    return this.#refused.get(name)?.message ?? null;
  }

  /** Records a refusal and returns the message; record before sending. */
  refuse(
    name: string,
    code: RefusalCode,
    retryAfterMs: number,
  ): AttemptRefusal {
    const message: AttemptRefusal = {
      type: "refused",
      attempt: name,
      code,
      retryAfterMs,
    };
    this.#refused.set(name, { message, atMs: this.#clock.monotonicMs() });
    return message;
  }

  /** Records an attempt that starts, for a router `instance/incarnation`. */
  add(attempt: Attempt, router: string): void {
    this.#started.set(attempt.run.attempt, {
      attempt,
      router,
      detachedSinceMs: null,
      endedAtMs: null,
    });
  }

  /** Whether an attempt has started here, including delivered ones. */
  hasStarted(name: string): boolean {
    return this.#started.has(name) || this.#delivered.has(name);
  }

  /**
   * Drops the response of an attempt whose caller has all of it. The name is
   * kept, so that a late run message does not start it again.
   */
  markDelivered(name: string): void {
    const attempt = this.get(name);
    if (attempt === null) return;
    attempt.buffer.discard();
    if (attempt.result === null) return;
    this.#started.delete(name);
    this.#delivered.set(name, this.#clock.monotonicMs());
  }

  /** Detaches every attempt whose response goes to a closed connection. */
  detach(receiver: ResponseReceiver): void {
    for (const started of this.#started.values()) {
      if (started.attempt.receiver !== receiver) continue;
      started.attempt.detach(receiver);
      started.detachedSinceMs = this.#clock.monotonicMs();
    }
  }

  /** Records that an attempt's router has reconnected to get its response. */
  reattach(name: string): void {
    const started = this.#started.get(name);
    if (started !== undefined) started.detachedSinceMs = null;
  }

  /**
   * Abandons attempts that earlier incarnations of a router instance asked
   * for: their callers were lost with the process.
   */
  cancelEarlierIncarnations(instance: string, router: string): void {
    for (const started of this.#started.values()) {
      if (!started.router.startsWith(`${instance}/`)) continue;
      if (started.router !== router) abandonAttempt(started.attempt);
    }
  }

  /**
   * Drops records older than their retention, and abandons attempts whose
   * router has not reconnected in time.
   */
  sweep(): void {
    const nowMs = this.#clock.monotonicMs();
    for (const [name, refusal] of this.#refused) {
      if (nowMs - refusal.atMs < RETENTION_MS) break;
      this.#refused.delete(name);
    }
    for (const [name, atMs] of this.#delivered) {
      if (nowMs - atMs < RETENTION_MS) break;
      this.#delivered.delete(name);
    }
    for (const [name, started] of this.#started) {
      const { attempt, detachedSinceMs } = started;
      if (
        detachedSinceMs !== null &&
        nowMs - detachedSinceMs > DETACHED_TIMEOUT_MS
      ) {
        abandonAttempt(attempt);
      }
      if (attempt.result === null) continue;
      started.endedAtMs ??= nowMs;
      if (nowMs - started.endedAtMs > RETENTION_MS) this.#started.delete(name);
    }
  }
}

/**
 * Cancels an idempotent attempt that has no receiver. A non-idempotent one
 * runs to its end, because its effect is still wanted; its response is dropped.
 */
function abandonAttempt(attempt: Attempt): void {
  if (attempt.run.idempotent) attempt.cancel("Router disconnected");
  else attempt.buffer.discard();
}
