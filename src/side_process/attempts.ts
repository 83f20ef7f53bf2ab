/** Every attempt this side process has heard of, and what became of it. */

import type { Clock } from "../common/clock.ts";
import type { RefusalCode, Refused } from "../protocol/mod.ts";
import type { AnswerReceiver, Attempt } from "./attempt.ts";

/** How long a refusal or an ended attempt is remembered. */
const REMEMBERED_MS = 120_000;
/** How long an answer waits for its router to come back. */
const ORPHAN_MS = 30_000;

interface Refusal {
  readonly message: Refused;
  readonly atMs: number;
}

interface Known {
  readonly attempt: Attempt;
  /** Connection's router, with its incarnation. */
  readonly router: string;
  orphanSinceMs: number | null;
  endedAtMs: number | null;
}

/** Registry of attempts; a refused one can never start later. */
export class Attempts {
  readonly #clock: Clock;
  readonly #known = new Map<string, Known>();
  readonly #refused = new Map<string, Refusal>();
  /** When attempts ended whose callers have the whole answer. */
  readonly #delivered = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Attempts that have no result yet. */
  get inProgress(): Attempt[] {
    return [...this.#known.values()]
      .map(({ attempt }) => attempt)
      .filter(({ result }) => result === null);
  }

  /** Whether an answer is not yet with its caller. */
  get undelivered(): boolean {
    return [...this.#known.values()].some(
      ({ attempt, orphanSinceMs }) =>
        !attempt.finished && orphanSinceMs === null,
    );
  }

  /** Returns an attempt that was started here. */
  get(name: string): Attempt | null {
    return this.#known.get(name)?.attempt ?? null;
  }

  /** Returns the refusal of an attempt, if it was refused. */
  refusal(name: string): Refused | null {
    return this.#refused.get(name)?.message ?? null;
  }

  /** Records a refusal before it is sent, and returns it. */
  refuse(name: string, code: RefusalCode, retryAfterMs: number): Refused {
    const message: Refused = {
      type: "refused",
      attempt: name,
      code,
      retryAfterMs,
    };
    this.#refused.set(name, { message, atMs: this.#clock.monotonicMs() });
    return message;
  }

  /** Records an attempt that starts. */
  add(attempt: Attempt, router: string): void {
    this.#known.set(attempt.run.attempt, {
      attempt,
      router,
      orphanSinceMs: null,
      endedAtMs: null,
    });
  }

  /** Whether an attempt has started here, also if it is over. */
  hasStarted(name: string): boolean {
    return this.#known.has(name) || this.#delivered.has(name);
  }

  /** Drops an answer that its caller has; its name is kept for a while. */
  deliver(name: string): void {
    const attempt = this.get(name);
    if (attempt === null) return;
    attempt.buffer.abandon();
    if (attempt.result === null) return;
    this.#known.delete(name);
    this.#delivered.set(name, this.#clock.monotonicMs());
  }

  /** Detaches what was sent on a connection that has closed. */
  detach(receiver: AnswerReceiver): void {
    for (const known of this.#known.values()) {
      if (known.attempt.receiver !== receiver) continue;
      known.attempt.detach(receiver);
      known.orphanSinceMs = this.#clock.monotonicMs();
    }
  }

  /** Notes that an attempt has a receiver again. */
  adopt(name: string): void {
    const known = this.#known.get(name);
    if (known !== undefined) known.orphanSinceMs = null;
  }

  /** Cancels what an earlier incarnation of a router asked for. */
  cancelOthers(instance: string, router: string): void {
    for (const known of this.#known.values()) {
      if (!known.router.startsWith(`${instance}/`)) continue;
      if (known.router !== router) orphaned(known.attempt);
    }
  }

  /** Forgets what is old and cancels what nobody came back for. */
  sweep(): void {
    const nowMs = this.#clock.monotonicMs();
    for (const [name, refusal] of this.#refused) {
      if (nowMs - refusal.atMs < REMEMBERED_MS) break;
      this.#refused.delete(name);
    }
    for (const [name, atMs] of this.#delivered) {
      if (nowMs - atMs < REMEMBERED_MS) break;
      this.#delivered.delete(name);
    }
    for (const [name, known] of this.#known) {
      const { attempt, orphanSinceMs } = known;
      if (orphanSinceMs !== null && nowMs - orphanSinceMs > ORPHAN_MS) {
        orphaned(attempt);
      }
      if (attempt.result === null) continue;
      known.endedAtMs ??= nowMs;
      if (nowMs - known.endedAtMs > REMEMBERED_MS) this.#known.delete(name);
    }
  }
}

/** A non-idempotent request runs on: its effect is wanted, not its answer. */
function orphaned(attempt: Attempt): void {
  if (attempt.run.idempotent) attempt.cancel("Router has gone");
  else attempt.buffer.abandon();
}
