/** Serves one caller's request, from its headers to the end of its response. */

import type { IncomingMessage, ServerResponse } from "node:http";
import { timerMs } from "../common/timer.ts";
import type { TeamShares, TeamTally } from "../fairness/mod.ts";
import type { MetricsRegistry } from "../metrics/registry.ts";
import type { StreamOrigin } from "../origins/mod.ts";
import {
  deadlinePassed,
  type Failure,
  notRun,
  outcomeUnknown,
} from "../router/failure.ts";
import { Upload } from "../router/upload.ts";
import type { ZoneRegions } from "../routing/mod.ts";
import {
  costOf,
  type Decision,
  type Placement,
  SHORT_RETRY_AFTER_MS,
} from "../scheduling/mod.ts";
import {
  type AdmittedRequest,
  admit,
  currentDeadlineAtMs,
  findRoute,
  unavailableHere,
} from "./admit.ts";
import { CallerResponse } from "./caller_response.ts";
import type { CallerWaitEstimator } from "./caller_wait_estimator.ts";
import type { ConfigurationState } from "./configuration_state.ts";
import { nameOf } from "./crash_guard.ts";
import { RequestRecord } from "./request_record.ts";
import {
  RequestSender,
  type RequestSenderDependencies,
} from "./request_sender.ts";
import type { SendEnd } from "./server_send.ts";
import { findOrigin } from "./take_up.ts";

/** Retry-After of a quarantined request; servers may be fixed by then. */
const QUARANTINE_RETRY_AFTER_MS = 60_000;
/**
 * Refusals that last until this router reaches the store again, or has less to
 * do; on a new connection, the caller gets another router.
 */
const LASTING_REFUSALS = new Set([
  "no-configuration",
  "configuration-too-old",
  "keys-too-old",
  "overloaded",
  "no-memory",
]);
/**
 * A caller that states less than the longest timeout of its route, by more than
 * this, has spent the difference on an earlier try.
 */
const COME_BACK_MS = 20;

/**
 * Time after which reading a request was a wait for its caller. One that has come
 * whole, but to a busy router, is read within milliseconds once its turn comes.
 */
const SLOW_UPLOAD_MS = 200;

/** Longest body that is read until a configuration with its limit is known. */
const UNKNOWN_LIMIT_BYTES = 4 * 1024 * 1024;

/** Dependencies of an exchange. */
export interface ExchangeDependencies extends RequestSenderDependencies {
  readonly configuration: ConfigurationState;
  readonly metrics: MetricsRegistry;
  readonly teamTally: TeamTally;
  readonly teamShares: TeamShares;
  readonly callerWaits: CallerWaitEstimator;
  readonly zoneRegions: ZoneRegions;
}

/** How an unread request is refused. */
export interface RefusalOptions {
  /** Retry-After in milliseconds, if it isn't the usual one. */
  readonly retryAfterMs?: number;
}

/** Whether the request is finished or is placed again. */
type Step = { readonly type: "done" } | { readonly type: "retry" };

const DONE: Step = { type: "done" };
const RETRY: Step = { type: "retry" };

/** One request. Failures are sent to the caller; `run` doesn't reject. */
export class Exchange {
  readonly #deps: ExchangeDependencies;
  readonly #request: IncomingMessage;
  readonly #response: CallerResponse;
  readonly #cancel = new AbortController();
  readonly #record: RequestRecord;
  readonly #upload: Upload;
  #deadlineTimer: NodeJS.Timeout | null = null;
  #hasReadTerms = false;
  /** Time that the caller states, once `#readTerms` has read it. */
  #unadmittedWaitMs: number | null = null;

  constructor(
    deps: ExchangeDependencies,
    request: IncomingMessage,
    response: ServerResponse,
  ) {
    this.#deps = deps;
    this.#request = request;
    const { configuration } = deps;
    this.#response = new CallerResponse(request, response, {
      idleTimeoutMs: () => configuration.table?.limits.idleTimeoutMs ?? null,
    });
    this.#record = new RequestRecord(deps);
    this.#upload = new Upload(request, deps.held, {
      limitBytes: configuration.table?.limits.bodyBytes ?? UNKNOWN_LIMIT_BYTES,
      group: request.socket.remoteAddress ?? "",
    });
  }

  /** The response, on which the caller server disables keep-alive. */
  get response(): CallerResponse {
    return this.#response;
  }

  /** Whether its team has got less than its share at this router. */
  get isBelowShare(): boolean {
    this.#readTerms();
    const { team } = this.#record.logFields;
    return team !== null && this.#deps.teamShares.isBelowShare(team);
  }

  /** Whether its caller seems to have tried before, by what is left of its time. */
  get hasComeBack(): boolean {
    const { configuration, callerWaits } = this.#deps;
    const { table } = configuration;
    this.#readTerms();
    const waitMs = this.#unadmittedWaitMs;
    const route = table === null ? null : findRoute(table, this.#request);
    if (route === null || waitMs === null) return false;
    return callerWaits.elapsedMs(route.name, waitMs) > COME_BACK_MS;
  }

  /** Serves the request and logs its end. */
  async run(): Promise<void> {
    const { clock, scheduler } = this.#deps;
    const startedMs = clock.monotonicMs();
    const admitted = await admit(this.#deps, this.#request, {
      arrivedMs: this.#record.arrivedMs,
      logFields: this.#record.logFields,
      upload: this.#upload,
    });
    const uploadMs = clock.monotonicMs() - startedMs;
    if (admitted.isErr()) this.#fail(admitted.error);
    else if (
      uploadMs > SLOW_UPLOAD_MS &&
      scheduler.closesBefore(admitted.value.deadlineAtMs)
    ) {
      // It may take until its deadline, and would be cut at the shutdown's end.
      this.#fail(unavailableHere("stopping"));
    } else await this.#serve(admitted.value);
    this.#record.finish(this.#response.status);
  }

  /** Bytes of the request's body that were received. */
  get bodyBytes(): number {
    return this.#upload.sizeBytes;
  }

  /** Frees what the request holds; call it once it has ended. */
  close(): void {
    this.#upload.close();
  }

  /** Ends a request whose caller left before it was read. */
  drop(): void {
    this.#readTerms();
    this.#record.end = "caller-left";
    this.#record.finish(null);
  }

  /** Fails the request unread with a 503; the caller may retry elsewhere. */
  refuse(code: string, options: RefusalOptions = {}): void {
    this.#readTerms();
    this.#fail({ ...unavailableHere(code), ...options });
    this.#record.finish(this.#response.status);
  }

  /** Reads who sent a request that hasn't been admitted. */
  #readTerms(): void {
    if (this.#hasReadTerms) return;
    this.#hasReadTerms = true;
    const { dialect, configuration } = this.#deps;
    const { logFields } = this.#record;
    const terms = dialect.readRequest(this.#request.headers);
    if (terms.isErr()) return;
    const { id, apiKey, waitMs } = terms.value;
    this.#unadmittedWaitMs = waitMs;
    logFields.id = id ?? "";
    logFields.tokens = costOf(terms.value);
    if (apiKey !== null)
      logFields.team = configuration.table?.teamOf(apiKey) ?? null;
  }

  async #serve(requested: AdmittedRequest): Promise<void> {
    const { retryBudget, teamShares } = this.#deps;
    const found = await findOrigin(this.#deps.origins, requested);
    if (found.isErr()) {
      this.#fail(found.error);
      return;
    }
    const origin = found.value;
    // Only the service that began a stream can go on with it.
    const service = origin?.service ?? requested.service;
    const admitted = { ...requested, service };
    retryBudget.recordRequest(admitted.service);
    if (admitted.team !== null) {
      teamShares.add(admitted.team, costOf(admitted.terms));
    }
    const sender = this.#createSender(admitted, origin);
    if (this.#refuseIfQuarantined(sender)) return;
    this.#checkDeadline(admitted);
    const cancel = () => this.#cancel.abort();
    this.#response.disconnectSignal.addEventListener("abort", cancel, {
      once: true,
    });
    if (this.#response.disconnectSignal.aborted) cancel();
    try {
      while ((await this.#attempt(sender)).type === "retry") {}
    } finally {
      if (this.#deadlineTimer !== null) clearTimeout(this.#deadlineTimer);
      sender.close();
    }
  }

  #createSender(
    admitted: AdmittedRequest,
    origin: StreamOrigin | null,
  ): RequestSender {
    return new RequestSender(this.#deps, {
      ...{ admitted, origin, request: this.#request, response: this.#response },
      ...{ record: this.#record, cancelSignal: this.#cancel.signal },
    });
  }

  /** Cancels the request once its deadline has passed. */
  #checkDeadline(admitted: AdmittedRequest): void {
    const { clock, configuration } = this.#deps;
    const deadlineAtMs = currentDeadlineAtMs(
      configuration,
      this.#request,
      admitted,
    );
    const remainingMs = deadlineAtMs - clock.monotonicMs();
    if (remainingMs <= 0) this.#cancel.abort();
    else {
      const check = () => this.#checkDeadline(admitted);
      // A timer may fire up to a millisecond early.
      this.#deadlineTimer = setTimeout(check, timerMs(Math.ceil(remainingMs)));
    }
  }

  async #attempt(sender: RequestSender): Promise<Step> {
    const { scheduler } = this.#deps;
    const { signal } = this.#cancel;
    const decision = await scheduler.place(await sender.demand(), signal);
    if (decision.type !== "placed")
      return this.#handleUnplaced(sender, decision);
    // Its last crash may have been found while it waited.
    if (this.#refuseIfQuarantined(sender)) {
      decision.release("neutral");
      return DONE;
    }
    this.#record.recordPlacement(decision);
    return this.#handleEnd(sender, await sender.send(decision));
  }

  /** Refuses the request and returns true if it is quarantined. */
  #refuseIfQuarantined({ suspect, mayHaveRun }: RequestSender): boolean {
    const refused = suspect.refusal();
    if (refused === null) return false;
    const request = this.#record.logFields.id;
    const { fingerprint } = suspect;
    const cause = nameOf(refused);
    this.#deps.events.info("quarantined", { request, fingerprint, cause });
    const sentence = "Quarantined: requests like this crashed several servers";
    const retryAfterMs = QUARANTINE_RETRY_AFTER_MS;
    this.#fail(
      mayHaveRun || this.#response.hasStarted
        ? outcomeUnknown("quarantined", sentence)
        : notRun(503, "quarantined", { sentence, retryAfterMs }),
    );
    return true;
  }

  #handleUnplaced(
    sender: RequestSender,
    decision: Exclude<Decision, Placement>,
  ): Step {
    switch (decision.type) {
      case "left":
        this.#endCancelled(sender);
        return DONE;
      case "refused": {
        const { reason, retryAfterMs, awaitedServer } = decision;
        this.#record.recordRefusal(awaitedServer);
        if (sender.mayHaveRun || this.#response.hasStarted) {
          this.#fail(
            outcomeUnknown(
              reason,
              "No other server can take the request in time",
            ),
          );
          return DONE;
        }
        const sentence = "No server will have capacity in time";
        this.#fail(notRun(503, reason, { sentence, retryAfterMs }));
        return DONE;
      }
      default:
        return decision satisfies never;
    }
  }

  #handleConnectFailure({ mayHaveRun, isUnreachable }: RequestSender): Step {
    if (!isUnreachable) return RETRY;
    this.#fail(
      mayHaveRun
        ? outcomeUnknown("unreachable", "No server can be reached")
        : notRun(503, "unreachable", {
            sentence: "No server can be reached",
            retryAfterMs: SHORT_RETRY_AFTER_MS,
          }),
    );
    return DONE;
  }

  #handleEnd(sender: RequestSender, end: SendEnd): Step {
    switch (end.type) {
      case "complete":
        this.#record.end = "served";
        return DONE;
      case "aborted":
      case "abandoned":
      case "unsent":
        this.#endCancelled(sender);
        return DONE;
      case "withdrawn":
        return RETRY;
      case "unreachable":
        return this.#handleConnectFailure(sender);
      case "not-run":
        return this.#handleNotRun(sender, end.status);
      case "failed":
        return this.#retryOrFail(sender, `Server answered ${end.status}`);
      case "broken":
        return this.#retryOrFail(sender, end.reason);
      default:
        return end satisfies never;
    }
  }

  #handleNotRun(sender: RequestSender, status: number): Step {
    if (sender.maySendAgain && sender.reserveRetry()) {
      this.#record.logRetry("not-run", status);
      return RETRY;
    }
    if (sender.mayHaveRun || this.#response.hasStarted) {
      this.#fail(
        outcomeUnknown("not-run", "An earlier server may have run the request"),
      );
      return DONE;
    }
    const sentence = "The server rejected the request without running it";
    const retryAfterMs = Math.max(
      SHORT_RETRY_AFTER_MS,
      this.#deps.scheduler.pauseDelayMs(sender.service),
    );
    this.#fail(notRun(503, "server-full", { sentence, retryAfterMs }));
    return DONE;
  }

  #retryOrFail(sender: RequestSender, reason: string): Step {
    if (sender.isRepeatable && sender.reserveRetry()) {
      this.#record.logRetry(reason, 0);
      return RETRY;
    }
    this.#fail(outcomeUnknown("broken-answer", reason));
    return DONE;
  }

  /** Ends a request whose caller disconnected or whose deadline passed. */
  #endCancelled({ mayHaveRun }: RequestSender): void {
    if (this.#response.isDisconnected) {
      this.#record.end = "caller-left";
      return;
    }
    if (mayHaveRun || this.#response.hasStarted) {
      this.#fail(deadlinePassed("unknown"));
      return;
    }
    const sentence = "The deadline passed before a server had capacity";
    const retryAfterMs = SHORT_RETRY_AFTER_MS;
    this.#fail(notRun(503, "deadline", { sentence, retryAfterMs }));
  }

  #fail(failure: Failure): void {
    this.#record.end = failure.code;
    if (LASTING_REFUSALS.has(failure.code)) this.#response.disableKeepAlive();
    this.#response.fail(failure, this.#deps.dialect);
  }
}
