/** Requests that run at one server, and the work that they make. */

import { add, IDLE, subtract, type Work } from "./work.ts";

/** One request at a server. */
export interface Run {
  /** Tokens of its prompt that are still to be read. */
  unreadTokens: number;
  readonly privateTokens: number;
  /** Tokens that stood before its first one, its own included. */
  readonly aheadTokens: number;
  readonly sentAtMs: number;
}

/** What a request adds. */
export interface RunSize {
  readonly uncachedTokens: number;
  readonly privateTokens: number;
}

/** Work that begins, is read and ends. */
export class RunningWork {
  #work: Work = IDLE;
  /** In the order in which they were sent. */
  readonly #unread = new Set<Run>();

  /** The sum of all that runs. */
  get work(): Work {
    return this.#work;
  }

  /** The request that has waited longest for its first event. */
  get oldestUnread(): Run | null {
    const [oldest = null] = this.#unread;
    return oldest;
  }

  /** Notes a request that is sent now. */
  begin({ uncachedTokens, privateTokens }: RunSize, nowMs: number): Run {
    const run = {
      ...{ unreadTokens: uncachedTokens, privateTokens },
      aheadTokens: this.#work.unreadTokens + uncachedTokens,
      sentAtMs: nowMs,
    };
    this.#work = add(this.#work, workOf(run));
    if (run.unreadTokens > 0) this.#unread.add(run);
    return run;
  }

  /** Notes that a request's prompt has been read. */
  read(run: Run): void {
    const { unreadTokens } = run;
    this.#work = subtract(this.#work, { ...IDLE, unreadTokens });
    run.unreadTokens = 0;
    this.#unread.delete(run);
  }

  /** Notes that a request has ended. */
  end(run: Run): void {
    this.#unread.delete(run);
    this.#work = subtract(this.#work, workOf(run));
  }
}

function workOf({ unreadTokens, privateTokens }: Run): Work {
  return { runs: 1, unreadTokens, privateTokens };
}
