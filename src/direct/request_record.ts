/** Collects what happened to one request, for the log and the metrics. */

import type { Clock } from "../common/clock.ts";
import type { EventLog } from "../common/event_log.ts";
import type { TeamTally } from "../fairness/mod.ts";
import type { MetricsRegistry } from "../metrics/registry.ts";
import type { Placement } from "../scheduling/mod.ts";
import type { RequestLogFields } from "./admit.ts";
import type { ConfigurationState } from "./configuration_state.ts";

/** Dependencies of a request record. */
export interface RequestRecordDependencies {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly metrics: MetricsRegistry;
  readonly configuration: ConfigurationState;
  /** Counts the requests that end, by team. */
  readonly teamTally: TeamTally;
}

/** Filled in while a request is served. Call `finish` once at its end. */
export class RequestRecord {
  /** Monotonic time at which the request arrived. */
  readonly arrivedMs: number;
  /** Identity of the request, as far as it is known. */
  readonly logFields: RequestLogFields = {
    ...{ id: "", team: null, route: null, tokens: 0, allowedMs: null },
    resumes: null,
  };
  /** `end` value of the log line and the metrics: how the request ended. */
  end = "unknown";
  readonly #deps: RequestRecordDependencies;
  #placement: Placement | null = null;
  #awaitedServer: string | null = null;
  #sends = 0;
  #waitedMs = 0;
  #firstByteMs: number | null = null;
  #longestPauseMs: number | null = null;

  constructor(deps: RequestRecordDependencies) {
    this.#deps = deps;
    this.arrivedMs = deps.clock.monotonicMs();
  }

  /** Number of sends to servers. */
  get sends(): number {
    return this.#sends;
  }

  /** Records the server on which the request was placed. */
  recordPlacement(placement: Placement): void {
    this.#placement = placement;
    this.#waitedMs = this.#sinceArrivalMs();
  }

  /** Records the server whose permit was awaited when it was refused. */
  recordRefusal(awaitedServer: string | null): void {
    this.#awaitedServer = awaitedServer;
  }

  /** Counts a send. */
  recordSend(): void {
    this.#sends += 1;
  }

  /** Records the time of the first body byte; later calls change nothing. */
  recordFirstByte(): void {
    this.#firstByteMs ??= this.#sinceArrivalMs();
  }

  /**
   * Records the longest pause between two pieces of a stream.
   *
   * @param targetMs longest pause that is on time; null for any
   */
  recordLongestPause(pauseMs: number, targetMs: number | null): void {
    this.#longestPauseMs = Math.round(pauseMs);
    if (targetMs === null) return;
    const pace = pauseMs <= targetMs ? "kept" : "missed";
    this.#deps.metrics.count("oriole_stream_pace_total", { pace });
    this.#deps.metrics.observe("oriole_stream_pause_seconds", pauseMs);
  }

  /** Logs that the request will be retried, and why. */
  logRetry(reason: string, status: number): void {
    this.#deps.events.info("retry", {
      ...{
        request: this.logFields.id,
        server: this.#server,
        sends: this.#sends,
      },
      ...{ reason, status },
    });
  }

  /**
   * Logs the end of the request and updates the metrics.
   *
   * @param status status that was sent to the caller; null for none
   */
  finish(status: number | null): void {
    const tookMs = this.#sinceArrivalMs();
    this.#count(String(status ?? 0), tookMs);
    const { events, configuration, teamTally } = this.#deps;
    const { id, team, route, tokens, allowedMs, resumes } = this.logFields;
    if (team !== null) teamTally.add(team, this.end, tokens);
    events.info("request", {
      ...{ request: id, team, route },
      ...{ server: this.#server, sends: this.#sends, end: this.end },
      ...{ awaited: this.#awaitedServer, tokens },
      uncached: this.#placement?.uncachedTokens ?? null,
      source: this.#placement?.source?.id ?? null,
      version: this.#placement?.server.version ?? null,
      resumes,
      ...{ status, waitedMs: this.#waitedMs },
      ...{ firstByteMs: this.#firstByteMs, tookMs, allowedMs },
      longestPauseMs: this.#longestPauseMs,
      configuration: configuration.table?.version ?? 0,
      configurationAgeMs: Math.round(configuration.ageMs),
    });
  }

  get #server(): string | null {
    return this.#placement?.server.id ?? null;
  }

  #count(status: string, tookMs: number): void {
    const { metrics } = this.#deps;
    metrics.count("oriole_requests_total", { status, end: this.end });
    metrics.observe("oriole_request_seconds", tookMs);
    metrics.observe("oriole_wait_seconds", this.#waitedMs);
    if (this.#firstByteMs !== null) {
      metrics.observe("oriole_first_byte_seconds", this.#firstByteMs);
    }
    if (this.#sends > 1) {
      metrics.count("oriole_retries_total", {}, this.#sends - 1);
    }
  }

  #sinceArrivalMs(): number {
    return Math.round(this.#deps.clock.monotonicMs() - this.arrivedMs);
  }
}
