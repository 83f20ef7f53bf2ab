/** Limits how many requests a router serves at once while it is overloaded. */

import type { Clock } from "./clock.ts";

/**
 * Time for which connections may wait to be accepted: half of the second that
 * callers wait for one.
 */
export const MAX_WAIT_MS = 500;
/** Interval of adjustments. */
const INTERVAL_MS = 250;
/** Factor of the limit per interval in which connections wait too long. */
const DECREASE_FACTOR = 0.7;
/** Growth of the limit per other interval, as a share of it; 1 at least. */
const INCREASE_SHARE = 0.2;
/**
 * Bound of the requests in progress of teams below their share, as a multiple
 * of the limit. The requests of other teams fill the limit by order of arrival;
 * without room beyond it, a team would get no more than its part of what
 * arrives, however little it asks for.
 */
const SHARE_LIMIT_FACTOR = 2;
/** Some requests are served under any load. */
const MIN_LIMIT = 4;
/** Time for which an overloaded server isn't ready the first time. */
const FIRST_PAUSE_MS = 5_000;
/** Bound of the pause, which doubles if the overload comes back with the load. */
const MAX_PAUSE_MS = 60_000;

/** What is known of the queue of connections when a request arrives. */
export interface QueueState {
  /** Time since the queue was last empty, in milliseconds. */
  readonly standingMs: number;
  /** Connections accepted since the start. */
  readonly accepted: number;
}

/**
 * Adapts the limit to the queue of connections that wait to be accepted.
 *
 * The queue is first come, first served. Once waiting in it takes longer than
 * callers wait for a connection, every connection is accepted too late, and the
 * work on it delays the next ones: the router serves nobody, even after the
 * load has fallen. The limit therefore falls while connections wait too long,
 * so that more are accepted, and rises otherwise. It doesn't fall until the
 * queue is empty: refusing costs time too, and callers that find the queue full
 * cost none.
 */
export class ConcurrencyLimit {
  readonly #clock: Clock;
  readonly #backlog: number;
  #limit = Number.POSITIVE_INFINITY;
  #inProgress = 0;
  #adjustedMs: number;
  #acceptedBefore = 0;
  #readyAtMs = Number.NEGATIVE_INFINITY;
  #pauseMs = FIRST_PAUSE_MS;

  /** @param options.backlog length of the queue */
  constructor(clock: Clock, { backlog }: { readonly backlog: number }) {
    this.#clock = clock;
    this.#backlog = backlog;
    this.#adjustedMs = clock.monotonicMs();
  }

  /** Whether the load balancer should send callers here. */
  get isReady(): boolean {
    return this.#clock.monotonicMs() >= this.#readyAtMs;
  }

  /** The limit in force; infinite until the first overload. */
  get value(): number {
    return Math.floor(this.#limit);
  }

  /** Adapts the limit; call it when a request arrives. */
  observe({ standingMs, accepted }: QueueState): void {
    const nowMs = this.#clock.monotonicMs();
    if (standingMs >= MAX_WAIT_MS) this.#pause(nowMs);
    const elapsedMs = nowMs - this.#adjustedMs;
    if (elapsedMs < INTERVAL_MS) return;
    const acceptedPerMs = (accepted - this.#acceptedBefore) / elapsedMs;
    const waitMs = Math.min(standingMs, this.#backlog / acceptedPerMs);
    if (waitMs >= MAX_WAIT_MS) this.#decrease();
    else this.#increase(Math.floor(elapsedMs / INTERVAL_MS));
    this.#adjustedMs = nowMs;
    this.#acceptedBefore = accepted;
  }

  /**
   * Admits a new request, which has to be released at its end, or returns false
   * if the limit is reached.
   *
   * @param isBelowShare whether the request's team has got less than its share;
   *   called only if the limit is reached
   */
  acquire(isBelowShare: () => boolean = () => false): boolean {
    const isAdmitted =
      this.#inProgress < this.value ||
      (this.#inProgress < this.value * SHARE_LIMIT_FACTOR && isBelowShare());
    if (isAdmitted) this.#inProgress += 1;
    return isAdmitted;
  }

  /** Releases a request that was admitted. */
  release(): void {
    this.#inProgress -= 1;
  }

  #pause(nowMs: number): void {
    if (this.isReady) {
      const readyForMs = nowMs - this.#readyAtMs;
      this.#pauseMs =
        readyForMs < this.#pauseMs
          ? Math.min(this.#pauseMs * 2, MAX_PAUSE_MS)
          : FIRST_PAUSE_MS;
    }
    this.#readyAtMs = nowMs + this.#pauseMs;
  }

  #decrease(): void {
    const served = Math.min(this.#limit, this.#inProgress);
    this.#limit = Math.max(MIN_LIMIT, served * DECREASE_FACTOR);
  }

  /** Only a limit that is in use tells whether a higher one would do. */
  #increase(intervals: number): void {
    if (this.#inProgress < this.#limit / 2) return;
    const factor = (1 + INCREASE_SHARE) ** intervals;
    this.#limit = Math.max(this.#limit + intervals, this.#limit * factor);
  }
}
