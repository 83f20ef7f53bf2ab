/** Chooses connections that are closed unread while too many come. */

import type { AcceptQueue } from "./accept_queue.ts";

/**
 * Time for which connections may wait to be accepted before some are closed: a
 * quarter of the second that callers wait for one. A caller whose connection is
 * closed unread can still reach another router in time.
 */
const MAX_STANDING_MS = 250;
/** Connections closed for each that is served, at first. */
const FIRST_CLOSED_PER_SERVED = 1;
/** Time after which more are closed, if that hasn't emptied the queue. */
const LONG_STANDING_MS = 500;
/** Connections closed for each that is served from then on. */
const MOST_CLOSED_PER_SERVED = 2;

/** The queue of connections that wait to be accepted. */
export type StandingQueue = Pick<AcceptQueue, "standingMs">;

/**
 * Closing a connection unread costs a small part of what refusing a request does,
 * which has to be read first. The queue is known to stand, but not how long it
 * is: some of its connections are closed until it is found empty, so that a short
 * queue costs few callers their connection.
 */
export class ConnectionShedder {
  readonly #queue: StandingQueue;
  /** Connections closed since one was served. */
  #closedInRow = 0;

  constructor(queue: StandingQueue) {
    this.#queue = queue;
  }

  /** Whether a connection that was just accepted is to be closed unread. */
  shouldClose(): boolean {
    if (this.#closedInRow >= this.#closedPerServed) {
      this.#closedInRow = 0;
      return false;
    }
    this.#closedInRow += 1;
    return true;
  }

  get #closedPerServed(): number {
    const { standingMs } = this.#queue;
    if (standingMs < MAX_STANDING_MS) return 0;
    if (standingMs < LONG_STANDING_MS) return FIRST_CLOSED_PER_SERVED;
    return MOST_CLOSED_PER_SERVED;
  }
}
