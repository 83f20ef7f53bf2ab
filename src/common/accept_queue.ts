/** Observes the queue of connections that wait to be accepted. */

import type { Server } from "node:net";
import type { Clock } from "./clock.ts";

/** Interval of the reports while the queue isn't empty. */
const REPORT_INTERVAL_MS = 1_000;

/** What was observed while the queue wasn't empty. */
export interface QueueReport {
  /** Time for which the queue hasn't been empty, in milliseconds. */
  readonly standingMs: number;
  /** Connections accepted since the previous report. */
  readonly accepted: number;
  /** Longest turn of the event loop since then, in milliseconds. */
  readonly longestTurnMs: number;
}

/** Whether the queue is known to be empty, or since when it is not. */
type State =
  | { readonly type: "empty" }
  | {
      readonly type: "standing";
      readonly sinceMs: number;
      reportedMs: number;
      accepted: number;
      turnStartMs: number;
      longestTurnMs: number;
      acceptedInTurn: boolean;
    };

/**
 * Measures for how long connections have been waiting without interruption.
 *
 * The event loop accepts one connection per turn. A turn without one therefore
 * shows that the queue is empty; until then, each connection has waited for
 * those before it.
 */
export class AcceptQueue {
  readonly #clock: Clock;
  readonly #onReport: (report: QueueReport) => void;
  #state: State = { type: "empty" };
  #accepted = 0;

  /**
   * Calls `onReport` when the queue is found empty again, and at intervals
   * until then.
   */
  constructor(
    server: Server,
    deps: {
      readonly clock: Clock;
      readonly onReport: (report: QueueReport) => void;
    },
  ) {
    this.#clock = deps.clock;
    this.#onReport = deps.onReport;
    server.on("connection", () => this.#handleConnection());
  }

  /** Time for which the queue has not been empty, in milliseconds. */
  get standingMs(): number {
    const state = this.#state;
    if (state.type === "empty") return 0;
    return this.#clock.monotonicMs() - state.sinceMs;
  }

  /** Connections accepted so far. */
  get accepted(): number {
    return this.#accepted;
  }

  #handleConnection(): void {
    this.#accepted += 1;
    const state = this.#state;
    if (state.type === "standing") {
      state.accepted += 1;
      state.acceptedInTurn = true;
      return;
    }
    const nowMs = this.#clock.monotonicMs();
    this.#state = {
      ...{ type: "standing", sinceMs: nowMs, reportedMs: nowMs, accepted: 1 },
      ...{ turnStartMs: nowMs, longestTurnMs: 0, acceptedInTurn: true },
    };
    setImmediate(() => this.#endTurn());
  }

  /** Runs once per turn of the event loop, after its connections. */
  #endTurn(): void {
    const state = this.#state;
    if (state.type === "empty") return;
    const nowMs = this.#clock.monotonicMs();
    const turnMs = nowMs - state.turnStartMs;
    state.longestTurnMs = Math.max(state.longestTurnMs, turnMs);
    state.turnStartMs = nowMs;
    const isEmpty = !state.acceptedInTurn;
    state.acceptedInTurn = false;
    if (isEmpty) this.#state = { type: "empty" };
    else setImmediate(() => this.#endTurn());
    if (!isEmpty && nowMs - state.reportedMs < REPORT_INTERVAL_MS) return;
    const { sinceMs, accepted, longestTurnMs } = state;
    this.#onReport({ standingMs: nowMs - sinceMs, accepted, longestTurnMs });
    Object.assign(state, { reportedMs: nowMs, accepted: 0, longestTurnMs: 0 });
  }
}
