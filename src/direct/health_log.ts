/** Logs when a router is held up or doesn't take callers, and why. */

import type { EventLog } from "../common/event_log.ts";
import type { EventLoopProfile } from "../common/event_loop_profile.ts";

/** Shorter turns of the event loop aren't logged. */
const LOGGED_TURN_MS = 100;

/** Whether a router takes callers, or why it doesn't. */
export type Readiness =
  | "ready"
  | "stopping"
  | "no-configuration"
  | "keys-too-old"
  | "overloaded";

/** State of a router when a line is logged. */
export interface HealthState {
  readonly readiness: Readiness;
  readonly openRequests: number;
  /** Requests that wait for a server. */
  readonly waiting: number;
  /** Time for which connections have been waiting to be accepted, in ms. */
  readonly standingQueueMs: number;
}

/** Dependencies of a health log. */
export interface HealthLogDependencies {
  readonly events: EventLog;
  readonly profile: EventLoopProfile;
  state(): HealthState;
}

/** Log lines on one router; call both methods at intervals. */
export class HealthLog {
  readonly #deps: HealthLogDependencies;
  #readiness: Readiness = "no-configuration";

  constructor(deps: HealthLogDependencies) {
    this.#deps = deps;
  }

  /** Logs a span in which the event loop was blocked for long. */
  logEventLoop(): void {
    const { events, profile } = this.#deps;
    const { longestTurnMs, processorShare, amounts } = profile.take();
    if (longestTurnMs < LOGGED_TURN_MS) return;
    const { readiness, openRequests, waiting } = this.#deps.state();
    const { decoding, "crash-reports": reports, placing } = amounts;
    events.warn("event-loop", {
      longestTurnMs: Math.round(longestTurnMs),
      processorShare: Number(processorShare.toFixed(3)),
      ...{ received: decoding.count, placings: placing.count },
      decodingMs: Math.round(decoding.tookMs),
      crashReports: reports.count,
      crashReportsMs: Math.round(reports.tookMs),
      placingMs: Math.round(placing.tookMs),
      ...{ openRequests, waiting, readiness },
    });
  }

  /** Logs whether the router takes callers, if that has changed. */
  logReadinessChange(): void {
    const { readiness, openRequests, standingQueueMs } = this.#deps.state();
    if (readiness === this.#readiness) return;
    const before = this.#readiness;
    this.#readiness = readiness;
    const standingMs = Math.round(standingQueueMs);
    const fields = { readiness, before, standingMs, openRequests };
    this.#deps.events.info("readiness", fields);
  }
}
