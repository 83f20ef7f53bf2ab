/** Sends one admitted request to servers, and records what they show. */

import type { IncomingMessage } from "node:http";
import type { Clock } from "../common/clock.ts";
import type { EventLog } from "../common/event_log.ts";
import type { HeldBytes } from "../common/held_bytes.ts";
import type { BackendServer, ServerNotice } from "../directory/mod.ts";
import type { StreamOrigin } from "../origins/mod.ts";
import type {
  Decision,
  Demand,
  Outcome,
  Placement,
  Scheduler,
} from "../scheduling/mod.ts";
import type { AdmittedRequest } from "./admit.ts";
import type { BackendRequest } from "./backend_connection.ts";
import type { CallerResponse } from "./caller_response.ts";
import type { ConnectionPool } from "./connection_pool.ts";
import type { CrashGuard } from "./crash_guard.ts";
import type { Dialect, ResponseTerms } from "./dialect.ts";
import type { StreamProgress } from "./event_splitter.ts";
import { HedgedSend, type SendOptions, type SendRole } from "./hedged_send.ts";
import { Relay } from "./relay.ts";
import type { RequestRecord } from "./request_record.ts";
import { ResponseProgress } from "./response_progress.ts";
import type { RetryBudget, RetryReservation } from "./retry_budget.ts";
import { type SendEnd, ServerSend } from "./server_send.ts";
import type { StreamOrigins } from "./stream_origins.ts";
import { SuspectRequest } from "./suspect_request.ts";

/**
 * Silence timeout as a multiple of the route's latency objective: a server that
 * sends nothing for longer may have hung, and another server is tried.
 */
const SILENCE_TIMEOUT_OBJECTIVES = 1.5;
/**
 * Time in which a second server must be free for a request whose server is
 * silent: a few round trips to an admission controller. Waiting longer would
 * take capacity from requests that no server has got.
 */
const HEDGE_PLACEMENT_TIMEOUT_MS = 100;

/**
 * Failed connection attempts at servers that had failed before, after which a
 * request is given up.
 */
const CONNECT_FAILURE_LIMIT = 8;

/** Dependencies of a request sender. */
export interface RequestSenderDependencies {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly dialect: Dialect;
  readonly scheduler: Scheduler;
  readonly pool: ConnectionPool;
  readonly retryBudget: RetryBudget;
  readonly crashGuard: CrashGuard;
  readonly origins: StreamOrigins;
  /** Memory for what callers and servers have sent. */
  readonly held: HeldBytes;
  /** Called with what a server says of itself. */
  readonly onServerNotice: (
    server: BackendServer,
    notice: ServerNotice,
    request: string,
  ) => void;
}

/** One request and the response to its caller. */
export interface RequestSenderOptions {
  readonly admitted: AdmittedRequest;
  readonly request: IncomingMessage;
  readonly response: CallerResponse;
  readonly record: RequestRecord;
  /** Where the stream began that it takes up; null for any other request. */
  readonly origin: StreamOrigin | null;
  /** Aborted when the caller disconnects or its deadline passes. */
  readonly cancelSignal: AbortSignal;
}

/** The sends of one request; call `close` at its end. */
export class RequestSender {
  /** The request as a possible cause of crashes. */
  readonly suspect: SuspectRequest;
  readonly #deps: RequestSenderDependencies;
  readonly #options: RequestSenderOptions;
  readonly #triedServers = new Set<string>();
  readonly #unreachableServers = new Set<string>();
  /** Null if the stream, or another response, can't be resumed. */
  readonly #progress: StreamProgress | null;
  /** How far the response to each send has come. */
  readonly #responses = new WeakMap<Placement, ResponseProgress>();
  /** The next send, if it is a retry. */
  #retry: RetryReservation | null = null;
  /** The send to another server while one is silent. */
  #hedgeRetry: RetryReservation | null = null;
  /** Where its stream began; null before the first event. */
  #origin: StreamOrigin | null;
  #mayHaveRun = false;
  /** Connections that failed although the server was known to be unreachable. */
  #repeatedConnectFailures = 0;

  constructor(deps: RequestSenderDependencies, options: RequestSenderOptions) {
    const { team, body, terms, route } = options.admitted;
    const path = options.request.url ?? "/";
    this.#deps = deps;
    this.#options = options;
    this.#origin = options.origin;
    this.#progress = route.repetition === "resumable" ? { lastId: null } : null;
    this.suspect = new SuspectRequest(deps.crashGuard, {
      ...{ team, path, body, prompt: terms.prompt },
    });
  }

  /** Service that it is sent to. */
  get service(): string {
    return this.#options.admitted.service;
  }

  /** Whether a server may have run the request. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRun;
  }

  /** Whether it has often failed to connect to the only servers left. */
  get isUnreachable(): boolean {
    return this.#repeatedConnectFailures >= CONNECT_FAILURE_LIMIT;
  }

  /** Whether its route allows to send it to one more server. */
  get maySendAgain(): boolean {
    const { admitted, record } = this.#options;
    return record.sends < admitted.route.maxAttempts;
  }

  /** Whether it may be sent to one more server after one may have run it. */
  get isRepeatable(): boolean {
    const { admitted, response } = this.#options;
    const isIdempotent = admitted.route.repetition !== "non-idempotent";
    // What has started may be no stream, as a failure on a route of streams.
    const canContinue =
      (!response.hasStarted || response.isResumable) &&
      (this.#origin === null || this.#deps.origins.isCertain(this.#origin));
    return isIdempotent && canContinue && this.maySendAgain;
  }

  /** What the scheduler has to know to place it on a server. */
  async demand(): Promise<Demand> {
    const version = await this.#requiredVersion();
    const { admitted, record } = this.#options;
    const { route, team, service, terms, zones } = admitted;
    return {
      requestId: record.logFields.id,
      team: team ?? "",
      service,
      priority: route.priority,
      prompt: terms.prompt,
      objectiveAtMs: admitted.objectiveAtMs,
      objectiveMs: route.objectiveMs,
      eventGapMs: route.eventGapMs,
      deadlineAtMs: admitted.deadlineAtMs,
      excluded: this.#triedServers,
      avoided: this.#unreachableServers,
      version,
      zones,
    };
  }

  /** Version that it must be sent to; null for any. */
  async #requiredVersion(): Promise<string | null> {
    if (this.#begunVersion !== null) return this.#begunVersion;
    const { record, admitted } = this.#options;
    const { id } = admitted.terms;
    if (this.#progress === null || id === null || record.sends === 0)
      return null;
    const version = await this.#deps.origins.boundVersion(id);
    // Its first event may have come meanwhile.
    return this.#begunVersion ?? version;
  }

  get #begunVersion(): string | null {
    return this.#origin?.version ?? null;
  }

  /** Returns false if the retry budget doesn't allow to send it once more. */
  reserveRetry(): boolean {
    const { admitted, cancelSignal } = this.#options;
    if (cancelSignal.aborted) return false;
    this.#retry = this.#deps.retryBudget.reserveRetry(admitted.service);
    return this.#retry !== null;
  }

  /** Sends it to a server; resolves with the end that decides. */
  send(first: Placement): Promise<SendEnd> {
    const { record } = this.#options;
    const sends = new HedgedSend({
      events: this.#deps.events,
      requestId: record.logFields.id,
      mayHedge: () => this.#mayHedge(),
      place: (signal) => this.#placeHedge(signal),
      start: (placement, options) => this.#start(placement, options),
      onEnd: (placement, end) => this.#recordEnd(placement, end),
      onTakeover: (placement, silent) => {
        record.recordPlacement(placement);
        if (silent !== null)
          this.#recordBroken(silent, "Another server took over");
      },
    });
    return sends.run(first);
  }

  /** Gives back what it has reserved. */
  close(): void {
    this.#retry?.release();
    this.suspect.end();
  }

  #mayHedge(): boolean {
    const { cancelSignal } = this.#options;
    return (
      this.isRepeatable &&
      !cancelSignal.aborted &&
      this.suspect.refusal() === null
    );
  }

  async #placeHedge(search: AbortSignal): Promise<Decision> {
    const { admitted, cancelSignal } = this.#options;
    const { retryBudget, scheduler } = this.#deps;
    const retry = retryBudget.reserveRetry(admitted.service);
    if (retry === null) return { type: "left" };
    const demand = await this.demand();
    const signal = AbortSignal.any([
      ...[search, cancelSignal],
      AbortSignal.timeout(HEDGE_PLACEMENT_TIMEOUT_MS),
    ]);
    const decision = await scheduler.place(demand, signal);
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

  #start(placement: Placement, { role, listener }: SendOptions): ServerSend {
    const { admitted, response, cancelSignal } = this.#options;
    const progress = new ResponseProgress(this.#deps.clock);
    this.#responses.set(placement, progress);
    return new ServerSend({
      pool: this.#deps.pool,
      ...{ placement, cancelSignal, isNamed: admitted.terms.id !== null },
      isCancelled: () => response.isDisconnected,
      request: () => {
        this.#recordSend(placement.server, role);
        return this.#backendRequest(placement);
      },
      createRelay: (connection) =>
        new Relay(response, connection, {
          ...listener,
          onClaim: () => {
            listener.onClaim();
            this.#recordBeginning(placement.server);
          },
          requestId: admitted.terms.id,
          dialect: this.#deps.dialect,
          withholdsFailures: role === "backup" || this.isRepeatable,
          progress: this.#progress,
          ...{ held: this.#deps.held, server: placement.server.id },
          streaming: admitted.route.streaming,
          onHead: (terms) => {
            this.#recordLimit(placement, terms);
            this.#recordNotices(placement, terms);
          },
          onData: () => this.#recordData(placement, progress),
          silenceTimeoutMs: this.#silenceTimeoutMs,
        }),
    });
  }

  #recordSend(server: BackendServer, role: SendRole): void {
    const { record, admitted } = this.#options;
    record.recordSend();
    (role === "backup" ? this.#hedgeRetry : this.#retry)?.spend();
    this.#triedServers.add(server.id);
    const { id } = admitted.terms;
    if (this.#progress === null || this.#origin !== null || id === null) return;
    this.#deps.origins.noteSend(id, originAt(server));
  }

  /** Binds the stream to the version of the server that begins it. */
  #recordBeginning(server: BackendServer): void {
    if (this.#progress === null || this.#origin !== null) return;
    this.#origin = originAt(server);
    const { id } = this.#options.admitted.terms;
    if (id !== null) this.#deps.origins.noteBeginning(id, this.#origin);
  }

  #backendRequest({ server, source }: Placement): BackendRequest {
    const { clock, dialect } = this.#deps;
    const { admitted, request } = this.#options;
    const { terms, team, body, deadlineAtMs } = admitted;
    const lastEventId = this.#progress?.lastId ?? terms.lastEventId;
    const remainingMs = deadlineAtMs - clock.monotonicMs();
    const forwarding = { server, source, remainingMs, team, lastEventId };
    return {
      method: request.method ?? "GET",
      path: request.url ?? "/",
      headers: dialect.forwardedHeaders(request.rawHeaders, forwarding),
      body,
    };
  }

  /** Null for requests that may not be repeated on another server. */
  get #silenceTimeoutMs(): number | null {
    if (!this.isRepeatable) return null;
    const { objectiveMs } = this.#options.admitted.route;
    return objectiveMs * SILENCE_TIMEOUT_OBJECTIVES;
  }

  #recordLimit(placement: Placement, { requestLimit }: ResponseTerms): void {
    if (requestLimit.type === "unstated") return;
    const isLimited = requestLimit.type === "limited";
    const requestsPerS = isLimited ? requestLimit.requestsPerS : null;
    if (!placement.noteRequestLimit(requestsPerS)) return;
    const { id: request } = this.#options.record.logFields;
    const server = placement.server.id;
    this.#deps.events.info("request-limit", { server, requestsPerS, request });
  }

  #recordNotices({ server }: Placement, { notices }: ResponseTerms): void {
    const { id } = this.#options.record.logFields;
    for (const notice of notices) this.#deps.onServerNotice(server, notice, id);
  }

  #recordData(placement: Placement, progress: ResponseProgress): void {
    if (!progress.hasData) {
      placement.noteFirstToken();
      this.#options.record.recordFirstByte();
    }
    this.suspect.recordData(progress);
    const { eventGapMs } = this.#options.admitted.route;
    if (eventGapMs !== null && progress.longestPauseMs > eventGapMs)
      placement.noteMissedPace();
  }

  #recordEnd(placement: Placement, end: SendEnd): void {
    this.suspect.recordEnd(end, this.#responseOf(placement));
    switch (end.type) {
      case "broken":
        this.#mayHaveRun = true;
        this.#recordBroken(placement, end.reason);
        return;
      case "failed":
      case "aborted":
      case "abandoned":
        this.#mayHaveRun = true;
        return;
      case "unreachable": {
        const { id } = placement.server;
        if (this.#unreachableServers.has(id))
          this.#repeatedConnectFailures += 1;
        this.#unreachableServers.add(id);
        const request = this.#options.record.logFields.id;
        const failure = { ...end.failure, request };
        this.#deps.crashGuard.handleUnreachable(placement.server, failure);
        return;
      }
      case "complete":
        this.#recordPause(placement);
        this.#deps.origins.noteEnd(this.#options.admitted.terms.id ?? "");
        return;
      case "not-run":
      case "unsent":
      case "withdrawn":
        return;
      default:
        end satisfies never;
    }
  }

  #recordPause(placement: Placement): void {
    const { route } = this.#options.admitted;
    if (!route.streaming) return;
    const { longestPauseMs } = this.#responseOf(placement);
    this.#options.record.recordLongestPause(longestPauseMs, route.eventGapMs);
  }

  #recordBroken(placement: Placement, reason: string): void {
    const { events, crashGuard } = this.#deps;
    const { server } = placement;
    const broken = this.suspect.brokenRequest(this.#responseOf(placement));
    const request = this.#options.record.logFields.id;
    const { fingerprint } = broken;
    const fields = { request, fingerprint, server: server.id, reason };
    events.warn("response-broken", fields);
    crashGuard.handleBroken(server, broken);
  }

  #responseOf(placement: Placement): ResponseProgress {
    const { clock } = this.#deps;
    return this.#responses.get(placement) ?? new ResponseProgress(clock);
  }
}

function originAt({ service, version, id }: BackendServer): StreamOrigin {
  return { service, version, server: id };
}
