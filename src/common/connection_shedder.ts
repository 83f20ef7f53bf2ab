/** Chooses connections that are closed unread while too many come. */

import type { AcceptQueue } from "./accept_queue.ts";

/**
 * Time for which connections may wait to be accepted before some are closed: a
 * quarter of the second that callers wait for one. A caller whose connection is
 * closed unread can still reach another router in time.
 */
const MAX_STANDING_MS = 250;

/** The queue of connections that wait to be accepted. */
export type StandingQueue = Pick<AcceptQueue, "standingMs" | "restart">;

/**
 * Closing a connection unread costs a small part of what refusing a request does,
 * which has to be read first. Once the queue has stood for too long, as many
 * connections are closed as it holds; those behind them have just come.
 */
export class ConnectionShedder {
  readonly #queue: StandingQueue;
  readonly #backlog: number;
  /** Connections to close before the next one is served. */
  #remaining = 0;

  /** @param options.backlog length of the queue */
  constructor(queue: StandingQueue, { backlog }: { readonly backlog: number }) {
    this.#queue = queue;
    this.#backlog = backlog;
  }

  /** Whether a connection that was just accepted is to be closed unread. */
  shouldClose(): boolean {
    const { standingMs } = this.#queue;
    if (standingMs === 0) this.#remaining = 0;
    else if (this.#remaining === 0 && standingMs >= MAX_STANDING_MS)
      this.#remaining = this.#backlog;
    if (this.#remaining === 0) return false;
    this.#remaining -= 1;
    if (this.#remaining === 0) this.#queue.restart();
    return true;
  }
}
