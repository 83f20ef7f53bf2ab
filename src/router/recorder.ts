/** Records how requests went, for metrics and the burn report. */

import type { Clock } from "../common/clock.ts";
import type { Registry } from "../metrics/mod.ts";
import type { BurnRecorder } from "../report/mod.ts";
import type { CallerAnswer } from "./caller_answer.ts";
import type { CallerRequest } from "./caller_request.ts";
import type { Failure } from "./failure.ts";
import * as journey from "./journey.ts";

/** Where records go. */
export interface RecorderParts {
  readonly clock: Clock;
  readonly metrics: Registry;
  readonly burn: BurnRecorder;
}

/** Records each request once. */
export class Recorder {
  readonly #parts: RecorderParts;

  constructor(parts: RecorderParts) {
    this.#parts = parts;
  }

  /** Answers with a failure and records it. */
  fail(
    request: CallerRequest,
    answer: CallerAnswer,
    { failure, path }: { failure: Failure; path: journey.Journey },
  ): void {
    const { team } = request;
    const { outcome, code } = failure;
    const service = request.service.name;
    const labels = { team, service, outcome, code };
    this.#parts.metrics.count("oriole_failures_total", labels);
    answer.fail(failure);
    this.#parts.burn.record({
      ...{ service, team },
      firstTokenMs: null,
      betweenTokensMs: null,
      completionMs: null,
      cause: outcome === "not-run" ? "refused" : journey.cause(path, 0),
    });
  }

  /** Records a request that was answered. */
  measure(
    request: CallerRequest,
    answer: CallerAnswer,
    path: journey.Journey,
  ): void {
    const { clock, metrics, burn } = this.#parts;
    const { team, arrivedMs } = request;
    const service = request.service.name;
    metrics.count("oriole_requests_total", { team, service });
    const nowMs = clock.monotonicMs();
    const completionMs = nowMs - arrivedMs;
    const firstTokenMs = (answer.firstByteAtMs ?? nowMs) - arrivedMs;
    metrics.observe("oriole_first_byte_seconds", firstTokenMs, { service });
    metrics.observe("oriole_completion_seconds", completionMs, { service });
    metrics.observe("oriole_waiting_seconds", path.waitedMs, { service });
    burn.record({
      ...{ service, team, firstTokenMs, completionMs },
      betweenTokensMs: answer.betweenEventsMs,
      cause: journey.cause(path, completionMs),
    });
  }
}
