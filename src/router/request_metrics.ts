/** Records results of requests for the metrics and the burn-rate report. */

import type { Clock } from "../common/clock.ts";
import type { MetricsRegistry } from "../metrics/mod.ts";
import type { BurnRecorder } from "../report/mod.ts";
import type { CallerRequest } from "./caller_request.ts";
import type { CallerResponse } from "./caller_response.ts";
import type { Failure } from "./failure.ts";
import * as requestHistory from "./request_history.ts";

/** Dependencies of the request metrics: what records are written to. */
export interface RequestMetricsDependencies {
  readonly clock: Clock;
  readonly metrics: MetricsRegistry;
  readonly burnRecorder: BurnRecorder;
}

/** Records each request once, when it ends. */
export class RequestMetrics {
  readonly #deps: RequestMetricsDependencies;

  constructor(deps: RequestMetricsDependencies) {
    this.#deps = deps;
  }

  /** Sends the caller a failure and records it. */
  respondWithFailure(
    request: CallerRequest,
    response: CallerResponse,
    {
      failure,
      history,
    }: { failure: Failure; history: requestHistory.RequestHistory },
  ): void {
    const { team } = request;
    const { outcome, code } = failure;
    const service = request.service.name;
    const labels = { team, service, outcome, code };
    this.#deps.metrics.count("oriole_failures_total", labels);
    response.fail(failure);
    this.#deps.burnRecorder.record({
      ...{ service, team },
      firstTokenMs: null,
      betweenTokensMs: null,
      completionMs: null,
      cause:
        outcome === "not-run"
          ? "refused"
          : requestHistory.missedTargetCause(history, 0),
    });
  }

  /** Records a request that ended without a failure, with its latencies. */
  recordResponse(
    request: CallerRequest,
    response: CallerResponse,
    history: requestHistory.RequestHistory,
  ): void {
    const { clock, metrics, burnRecorder } = this.#deps;
    const { team, arrivedMs } = request;
    const service = request.service.name;
    metrics.count("oriole_requests_total", { team, service });
    const nowMs = clock.monotonicMs();
    const completionMs = nowMs - arrivedMs;
    const firstTokenMs = (response.firstByteAtMs ?? nowMs) - arrivedMs;
    metrics.observe("oriole_first_byte_seconds", firstTokenMs, { service });
    metrics.observe("oriole_completion_seconds", completionMs, { service });
    metrics.observe("oriole_waiting_seconds", history.waitedMs, { service });
    burnRecorder.record({
      ...{ service, team, firstTokenMs, completionMs },
      betweenTokensMs: response.meanBetweenEventsMs,
      cause: requestHistory.missedTargetCause(history, completionMs),
    });
  }
}
