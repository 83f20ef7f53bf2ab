/** Serves one caller's request, from its headers to the end of its response. */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock } from "../common/clock.ts";
import type { EventLog } from "../common/event_log.ts";
import type { TeamShares, TeamTally } from "../fairness/mod.ts";
import type { MetricsRegistry } from "../metrics/registry.ts";
import {
  deadlinePassed,
  type Failure,
  notRun,
  outcomeUnknown,
} from "../router/failure.ts";
import {
  costOf,
  type Decision,
  type Demand,
  type Outcome,
  type Placement,
  type Scheduler,
} from "../scheduling/mod.ts";
import {
  type AdmittedRequest,
  admit,
  currentDeadlineAtMs,
  SHORT_RETRY_AFTER_MS,
  unavailableHere,
} from "./admit.ts";
import type { ConnectionFailure } from "./backend_connection.ts";
import { CallerResponse } from "./caller_response.ts";
import type { CallerWaitEstimator } from "./caller_wait_estimator.ts";
import type { ConfigurationState } from "./configuration_state.ts";
import type { ConnectionPool } from "./connection_pool.ts";
import { type CrashGuard, nameOf } from "./crash_guard.ts";
import type { Dialect } from "./dialect.ts";
import { EventSplitter, type StreamProgress } from "./event_splitter.ts";
import { HedgedSend, type SendOptions, type SendRole } from "./hedged_send.ts";
import { Relay } from "./relay.ts";
import { RequestRecord } from "./request_record.ts";
import { ResponseProgress } from "./response_progress.ts";
import type { RetryBudget, RetryReservation } from "./retry_budget.ts";
import { type SendEnd, ServerSend } from "./server_send.ts";
import { SuspectRequest } from "./suspect_request.ts";

/**
 * Silence timeout as a multiple of the route's latency objective: a server that
 * sends nothing for longer may have hung, and another server is tried.
 */
const SILENCE_TIMEOUT_OBJECTIVES = 1.5;
/** Retry-After of a quarantined request; servers may be fixed by then. */
const QUARANTINE_RETRY_AFTER_MS = 60_000;
/**
 * Time in which a second server must be free for a request whose server is
 * silent: a few round trips to an admission controller. Waiting longer would
 * take capacity from requests that no server has got.
 */
const HEDGE_PLACEMENT_TIMEOUT_MS = 100;
/** Failed connection attempts after which a request is given up. */
const CONNECT_FAILURE_LIMIT = 8;

/** Dependencies of an exchange. */
export interface ExchangeDependencies {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly configuration: ConfigurationState;
  readonly dialect: Dialect;
  readonly scheduler: Scheduler;
  readonly pool: ConnectionPool;
  readonly retryBudget: RetryBudget;
  readonly crashGuard: CrashGuard;
  readonly metrics: MetricsRegistry;
  readonly teamTally: TeamTally;
  readonly teamShares: TeamShares;
  readonly callerWaits: CallerWaitEstimator;
}

/** A failed attempt to connect to a server. */
export interface ConnectFailure extends ConnectionFailure {
  /** Id of the request that it was for; null for a probe. */
  readonly request: string | null;
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
  readonly #triedServers = new Set<string>();
  /** Null if the stream, or another response, can't be resumed. */
  #progress: StreamProgress | null = null;
  readonly #record: RequestRecord;
  /** The next send, if it is a retry. */
  #retry: RetryReservation | null = null;
  /** The send to another server while one is silent. */
  #hedgeRetry: RetryReservation | null = null;
  /** How far the response to each send has come. */
  readonly #responses = new WeakMap<Placement, ResponseProgress>();
  #suspect: SuspectRequest | null = null;
  #deadlineTimer: NodeJS.Timeout | null = null;
  #hasReadTerms = false;
  #connectFailures = 0;
  #mayHaveRun = false;

  constructor(
    deps: ExchangeDependencies,
    request: IncomingMessage,
    response: ServerResponse,
  ) {
    this.#deps = deps;
    this.#request = request;
    this.#response = new CallerResponse(request, response);
    this.#record = new RequestRecord(deps);
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

  /** Serves the request and logs its end. */
  async run(): Promise<void> {
    const admitted = await admit(this.#deps, this.#request, {
      arrivedMs: this.#record.arrivedMs,
      logFields: this.#record.logFields,
    });
    if (admitted.isErr()) this.#fail(admitted.error);
    else await this.#serve(admitted.value);
    this.#record.finish(this.#response.status);
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
    const { id, apiKey } = terms.value;
    logFields.id = id ?? "";
    logFields.tokens = costOf(terms.value);
    if (apiKey !== null)
      logFields.team = configuration.table?.teamOf(apiKey) ?? null;
  }

  async #serve(admitted: AdmittedRequest): Promise<void> {
    const { retryBudget, teamShares } = this.#deps;
    const { route, service } = admitted;
    retryBudget.recordRequest(service);
    if (admitted.team !== null) {
      teamShares.add(admitted.team, costOf(admitted.terms));
    }
    if (this.#refuseIfQuarantined(admitted)) return;
    this.#progress = route.repetition === "resumable" ? { lastId: null } : null;
    this.#checkDeadline(admitted);
    const cancel = () => this.#cancel.abort();
    this.#response.disconnectSignal.addEventListener("abort", cancel, {
      once: true,
    });
    if (this.#response.disconnectSignal.aborted) cancel();
    try {
      while ((await this.#attempt(admitted)).type === "retry") {}
    } finally {
      if (this.#deadlineTimer !== null) clearTimeout(this.#deadlineTimer);
      this.#retry?.release();
      this.#suspect?.end();
    }
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
      this.#deadlineTimer = setTimeout(check, Math.ceil(remainingMs));
    }
  }

  async #attempt(admitted: AdmittedRequest): Promise<Step> {
    const { scheduler } = this.#deps;
    const demand = this.#demand(admitted);
    const decision = await scheduler.place(demand, this.#cancel.signal);
    if (decision.type !== "placed") return this.#handleUnplaced(decision);
    // Its last crash may have been found while it waited.
    if (this.#refuseIfQuarantined(admitted)) {
      decision.release("neutral");
      return DONE;
    }
    this.#record.recordPlacement(decision);
    return await this.#send(admitted, decision);
  }

  /** Refuses the request and returns true if it is quarantined. */
  #refuseIfQuarantined(admitted: AdmittedRequest): boolean {
    const suspect = this.#suspectOf(admitted);
    const refused = suspect.refusal();
    if (refused === null) return false;
    const request = this.#record.logFields.id;
    const { fingerprint } = suspect;
    const cause = nameOf(refused);
    this.#deps.events.info("quarantined", { request, fingerprint, cause });
    const sentence = "Quarantined: requests like this crashed several servers";
    const retryAfterMs = QUARANTINE_RETRY_AFTER_MS;
    this.#fail(
      this.#mayHaveRun || this.#response.hasStarted
        ? outcomeUnknown("quarantined", sentence)
        : notRun(503, "quarantined", { sentence, retryAfterMs }),
    );
    return true;
  }

  #suspectOf({ team, body, terms }: AdmittedRequest): SuspectRequest {
    const path = this.#request.url ?? "/";
    this.#suspect ??= new SuspectRequest(this.#deps.crashGuard, {
      ...{ team, path, body, prompt: terms.prompt },
    });
    return this.#suspect;
  }

  #demand(admitted: AdmittedRequest): Demand {
    const { route, team, service, terms } = admitted;
    return {
      requestId: this.#record.logFields.id,
      team: team ?? "",
      service,
      priority: route.priority,
      prompt: terms.prompt,
      objectiveAtMs: admitted.objectiveAtMs,
      objectiveMs: route.objectiveMs,
      deadlineAtMs: admitted.deadlineAtMs,
      excluded: this.#triedServers,
    };
  }

  #handleUnplaced(decision: Exclude<Decision, Placement>): Step {
    switch (decision.type) {
      case "left":
        this.#endCancelled();
        return DONE;
      case "refused": {
        const { reason, retryAfterMs, awaitedServer } = decision;
        this.#record.recordRefusal(awaitedServer);
        if (this.#mayHaveRun || this.#response.hasStarted) {
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

  async #send(admitted: AdmittedRequest, first: Placement): Promise<Step> {
    const sends = new HedgedSend({
      events: this.#deps.events,
      requestId: this.#record.logFields.id,
      mayHedge: () => this.#mayHedge(admitted),
      place: (signal) => this.#placeHedge(admitted, signal),
      start: (placement, options) =>
        this.#startSend(admitted, placement, options),
      onEnd: (placement, end) => this.#recordEnd(admitted, placement, end),
      onTakeover: (placement, silent) => {
        this.#record.recordPlacement(placement);
        if (silent !== null)
          this.#recordBroken(admitted, silent, "Another server took over");
      },
    });
    return this.#handleEnd(admitted, await sends.run(first));
  }

  #mayHedge(admitted: AdmittedRequest): boolean {
    return (
      this.#isRepeatable(admitted) &&
      !this.#cancel.signal.aborted &&
      this.#suspectOf(admitted).refusal() === null
    );
  }

  async #placeHedge(
    admitted: AdmittedRequest,
    search: AbortSignal,
  ): Promise<Decision> {
    const retry = this.#deps.retryBudget.reserveRetry(admitted.service);
    if (retry === null) return { type: "left" };
    const signal = AbortSignal.any([
      ...[search, this.#cancel.signal],
      AbortSignal.timeout(HEDGE_PLACEMENT_TIMEOUT_MS),
    ]);
    const demand = this.#demand(admitted);
    const decision = await this.#deps.scheduler.place(demand, signal);
    if (decision.type !== "placed") {
      retry.release();
      return decision;
    }
    this.#hedgeRetry = retry;
    const release = (outcome: Outcome) => {
      retry.release();
      decision.release(outcome);
    };
    return { ...decision, release };
  }

  #startSend(
    admitted: AdmittedRequest,
    placement: Placement,
    { role, listener }: SendOptions,
  ): ServerSend {
    const suspect = this.#suspectOf(admitted);
    const response = new ResponseProgress(this.#deps.clock);
    this.#responses.set(placement, response);
    return new ServerSend({
      pool: this.#deps.pool,
      placement,
      cancelSignal: this.#cancel.signal,
      isCancelled: () => this.#response.isDisconnected,
      request: () => {
        this.#recordSend(placement.server.id, role);
        return this.#backendRequest(admitted, placement);
      },
      createRelay: (connection) =>
        new Relay(this.#response, connection, {
          ...listener,
          requestId: admitted.terms.id,
          dialect: this.#deps.dialect,
          withholdsFailures: role === "backup" || this.#isRepeatable(admitted),
          splitter: this.#progress && new EventSplitter(this.#progress),
          streaming: admitted.route.streaming,
          onData: () => suspect.recordData(response),
          onFirstByte: () => this.#recordFirstByte(placement),
          silenceTimeoutMs: this.#silenceTimeoutMs(admitted),
        }),
    });
  }

  #recordEnd(
    admitted: AdmittedRequest,
    placement: Placement,
    end: SendEnd,
  ): void {
    const response = this.#responses.get(placement);
    if (response !== undefined)
      this.#suspectOf(admitted).recordEnd(end, response);
    switch (end.type) {
      case "broken":
        this.#mayHaveRun = true;
        this.#recordBroken(admitted, placement, end.reason);
        return;
      case "failed":
      case "aborted":
      case "abandoned":
        this.#mayHaveRun = true;
        return;
      case "unreachable": {
        const request = this.#record.logFields.id;
        const { failure } = end;
        this.#deps.crashGuard.handleUnreachable(placement.server, {
          ...failure,
          request,
        });
        return;
      }
      case "complete":
      case "not-run":
      case "unsent":
        return;
      default:
        end satisfies never;
    }
  }

  #recordBroken(
    admitted: AdmittedRequest,
    placement: Placement,
    reason: string,
  ): void {
    const { events, crashGuard, clock } = this.#deps;
    const response =
      this.#responses.get(placement) ?? new ResponseProgress(clock);
    const broken = this.#suspectOf(admitted).brokenRequest(response);
    const { server } = placement;
    events.warn("response-broken", {
      ...{
        request: this.#record.logFields.id,
        fingerprint: broken.fingerprint,
      },
      ...{ server: server.id, reason },
    });
    crashGuard.handleBroken(server, broken);
  }

  /** No timeout for requests that may not be repeated on another server. */
  #silenceTimeoutMs(admitted: AdmittedRequest): number | null {
    if (!this.#isRepeatable(admitted)) return null;
    return admitted.route.objectiveMs * SILENCE_TIMEOUT_OBJECTIVES;
  }

  #recordSend(server: string, role: SendRole): void {
    this.#record.recordSend();
    (role === "backup" ? this.#hedgeRetry : this.#retry)?.spend();
    this.#triedServers.add(server);
  }

  #recordFirstByte(placement: Placement): void {
    placement.noteFirstToken();
    this.#record.recordFirstByte();
  }

  #backendRequest(
    { terms, team, body, deadlineAtMs }: AdmittedRequest,
    { server, source }: Placement,
  ) {
    const { clock, dialect } = this.#deps;
    const lastEventId = this.#progress?.lastId ?? terms.lastEventId;
    const remainingMs = deadlineAtMs - clock.monotonicMs();
    const forwarding = { server, source, remainingMs, team, lastEventId };
    return {
      method: this.#request.method ?? "GET",
      path: this.#request.url ?? "/",
      headers: dialect.forwardedHeaders(this.#request.rawHeaders, forwarding),
      body,
    };
  }

  #handleConnectFailure(): Step {
    this.#connectFailures += 1;
    if (this.#connectFailures < CONNECT_FAILURE_LIMIT) return RETRY;
    this.#fail(
      this.#mayHaveRun
        ? outcomeUnknown("unreachable", "No server can be reached")
        : notRun(503, "unreachable", {
            sentence: "No server can be reached",
            retryAfterMs: SHORT_RETRY_AFTER_MS,
          }),
    );
    return DONE;
  }

  #handleEnd(admitted: AdmittedRequest, end: SendEnd): Step {
    switch (end.type) {
      case "complete":
        this.#record.end = "served";
        return DONE;
      case "aborted":
      case "abandoned":
      case "unsent":
        this.#endCancelled();
        return DONE;
      case "unreachable":
        return this.#handleConnectFailure();
      case "not-run":
        return this.#handleNotRun(admitted, end.status);
      case "failed":
        return this.#retryOrFail(admitted, `Server answered ${end.status}`);
      case "broken":
        return this.#retryOrFail(admitted, end.reason);
      default:
        return end satisfies never;
    }
  }

  #handleNotRun(admitted: AdmittedRequest, status: number): Step {
    if (
      this.#record.sends < admitted.route.maxAttempts &&
      this.#reserveRetry(admitted)
    ) {
      this.#record.logRetry("not-run", status);
      return RETRY;
    }
    if (this.#mayHaveRun || this.#response.hasStarted) {
      this.#fail(
        outcomeUnknown("not-run", "An earlier server may have run the request"),
      );
      return DONE;
    }
    const sentence = "The server rejected the request without running it";
    const retryAfterMs = SHORT_RETRY_AFTER_MS;
    this.#fail(notRun(503, "server-full", { sentence, retryAfterMs }));
    return DONE;
  }

  #retryOrFail(admitted: AdmittedRequest, reason: string): Step {
    if (this.#isRepeatable(admitted) && this.#reserveRetry(admitted)) {
      this.#record.logRetry(reason, 0);
      return RETRY;
    }
    this.#fail(outcomeUnknown("broken-answer", reason));
    return DONE;
  }

  #isRepeatable({ route }: AdmittedRequest): boolean {
    const { repetition, maxAttempts } = route;
    // Only an event stream can go on from another server where it broke off.
    const canContinue = this.#progress !== null || !this.#response.hasStarted;
    return (
      repetition !== "non-idempotent" &&
      canContinue &&
      this.#record.sends < maxAttempts
    );
  }

  #reserveRetry({ service }: AdmittedRequest): boolean {
    if (this.#cancel.signal.aborted) return false;
    this.#retry = this.#deps.retryBudget.reserveRetry(service);
    return this.#retry !== null;
  }

  /** Ends a request whose caller disconnected or whose deadline passed. */
  #endCancelled(): void {
    if (this.#response.isDisconnected) {
      this.#record.end = "caller-left";
      return;
    }
    if (this.#mayHaveRun || this.#response.hasStarted) {
      this.#fail(deadlinePassed("unknown"));
      return;
    }
    const sentence = "The deadline passed before a server had capacity";
    const retryAfterMs = SHORT_RETRY_AFTER_MS;
    this.#fail(notRun(503, "deadline", { sentence, retryAfterMs }));
  }

  #fail(failure: Failure): void {
    this.#record.end = failure.code;
    this.#response.fail(failure, this.#deps.dialect);
  }
}
