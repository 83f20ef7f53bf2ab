/** What happened to one request, for its line in the log and the metrics. */

import type { Clock } from "../common/clock.ts";
import type { EventLog } from "../common/event_log.ts";
import type { Registry } from "../metrics/registry.ts";
import type { Placement } from "../scheduling/mod.ts";
import type { Facts } from "./admit.ts";
import type { Beliefs } from "./beliefs.ts";

/** What a record is written with. */
export interface RequestRecordParts {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly metrics: Registry;
  readonly beliefs: Beliefs;
}

/** Notes as a request goes on; `write` once at its end. */
export class RequestRecord {
  readonly arrivedMs: number;
  /** What is known of the request itself. */
  readonly facts: Facts = { id: "", team: null, route: null };
  /** Why it ended. */
  end = "unknown";
  readonly #parts: RequestRecordParts;
  #placement: Placement | null = null;
  #sends = 0;
  #waitedMs = 0;
  #firstByteMs: number | null = null;

  constructor(parts: RequestRecordParts) {
    this.#parts = parts;
    this.arrivedMs = parts.clock.monotonicMs();
  }

  /** Servers that it was sent to. */
  get sends(): number {
    return this.#sends;
  }

  /** Notes that it has a place. */
  notePlaced(placement: Placement): void {
    this.#placement = placement;
    this.#waitedMs = this.#sinceArrivalMs();
  }

  /** Notes that it is sent. */
  noteSend(): void {
    this.#sends += 1;
  }

  /** Notes that the answer begins; only the first one counts. */
  noteFirstByte(): void {
    this.#firstByteMs ??= this.#sinceArrivalMs();
  }

  /** Logs that it is sent once more, and why. */
  writeRetry(reason: string, status: number): void {
    this.#parts.events.info("retry", {
      ...{ request: this.facts.id, server: this.#server, sends: this.#sends },
      ...{ reason, status },
    });
  }

  /**
   * Counts and logs its end.
   *
   * @param status what the caller was given; null for nothing
   */
  write(status: number | null): void {
    const tookMs = this.#sinceArrivalMs();
    this.#count(String(status ?? 0), tookMs);
    const { events, beliefs } = this.#parts;
    const { id, team, route } = this.facts;
    events.info("request", {
      ...{ request: id, team, route },
      ...{ server: this.#server, sends: this.#sends, end: this.end },
      uncached: this.#placement?.uncachedTokens ?? null,
      source: this.#placement?.source?.id ?? null,
      ...{ status, waitedMs: this.#waitedMs },
      ...{ firstByteMs: this.#firstByteMs, tookMs },
      configuration: beliefs.table?.version ?? 0,
      configurationAgeMs: Math.round(beliefs.ageMs),
    });
  }

  get #server(): string | null {
    return this.#placement?.server.id ?? null;
  }

  #count(status: string, tookMs: number): void {
    const { metrics } = this.#parts;
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
    return Math.round(this.#parts.clock.monotonicMs() - this.arrivedMs);
  }
}
