/** One caller's request, from its head to the end of its answer. */

import type { IncomingMessage, ServerResponse } from "node:http";
import { setImmediate as nextTurn } from "node:timers/promises";
import type { Clock } from "../common/clock.ts";
import type { EventLog } from "../common/event_log.ts";
import type { BackendServer } from "../directory/mod.ts";
import type { Registry } from "../metrics/registry.ts";
import type { Strike } from "../protocol/mod.ts";
import { fingerprintOf, type Quarantine } from "../quarantine/mod.ts";
import {
  deadlinePassed,
  type Failure,
  notRun,
  outcomeUnknown,
} from "../router/failure.ts";
import type {
  Decision,
  Demand,
  Outcome,
  Placement,
  Scheduler,
} from "../scheduling/mod.ts";
import {
  type Admitted,
  admit,
  ELSEWHERE_RETRY_MS,
  elsewhere,
} from "./admit.ts";
import { Answer } from "./answer.ts";
import type { Beliefs } from "./beliefs.ts";
import type { ConnectionPool } from "./connection_pool.ts";
import type { CrashWatch } from "./crash_watch.ts";
import type { Dialect } from "./dialect.ts";
import { EventSplitter } from "./event_splitter.ts";
import { Relay, type SendEnd } from "./relay.ts";
import { RequestRecord } from "./request_record.ts";
import type { RetryAllowance } from "./retry_allowance.ts";
import type { UsualWait } from "./usual_wait.ts";

/** Silence, in objectives, after which a server is taken to have hung. */
const SILENCE_OBJECTIVES = 1.5;
/** Wait of a request that crashes servers; it may have been mended by then. */
const QUARANTINE_RETRY_MS = 60_000;
/** Connections to servers that may be refused before a request gives up. */
const UNREACHABLE_LIMIT = 8;

/** What an exchange works with. */
export interface ExchangeParts {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly beliefs: Beliefs;
  readonly dialect: Dialect;
  readonly scheduler: Scheduler;
  readonly pool: ConnectionPool;
  readonly retries: RetryAllowance;
  readonly quarantine: Quarantine;
  readonly crashes: CrashWatch;
  readonly metrics: Registry;
  readonly usualWait: UsualWait;
  /** Called when a server has crashed. */
  struck(strike: Strike): void;
}

type Step = { readonly type: "done" } | { readonly type: "again" };

const DONE: Step = { type: "done" };
const AGAIN: Step = { type: "again" };

/** Serves one request; `run` never rejects. */
export class Exchange {
  readonly #parts: ExchangeParts;
  readonly #request: IncomingMessage;
  readonly #answer: Answer;
  readonly #stop = new AbortController();
  readonly #tried = new Set<string>();
  #splitter: EventSplitter | null = null;
  readonly #record: RequestRecord;
  #unreachable = 0;
  #mayHaveRun = false;

  constructor(
    parts: ExchangeParts,
    request: IncomingMessage,
    response: ServerResponse,
  ) {
    this.#parts = parts;
    this.#request = request;
    this.#answer = new Answer(request, response);
    this.#record = new RequestRecord(parts);
  }

  /** The answer, to ask its caller for a new connection. */
  get answer(): Answer {
    return this.#answer;
  }

  /** Answers the request. */
  async run(): Promise<void> {
    const admitted = await admit(this.#parts, this.#request, {
      arrivedMs: this.#record.arrivedMs,
      facts: this.#record.facts,
    });
    if (admitted.isErr()) this.#fail(admitted.error);
    else await this.#serve(admitted.value);
    this.#record.write(this.#answer.status);
  }

  /** Sends the caller to another router; nothing has run. */
  refuse(code: string): void {
    const terms = this.#parts.dialect.readRequest(this.#request.headers);
    if (terms.isOk()) this.#record.facts.id = terms.value.id ?? "";
    this.#fail(elsewhere(code));
    this.#record.write(this.#answer.status);
  }

  async #serve(admitted: Admitted): Promise<void> {
    const { clock, retries } = this.#parts;
    const { route, service, deadlineAtMs } = admitted;
    retries.noteRequest(service);
    if (this.#isQuarantined(admitted)) {
      const sentence = "The request has crashed several servers";
      const retryAfterMs = QUARANTINE_RETRY_MS;
      this.#fail(notRun(503, "quarantined", { sentence, retryAfterMs }));
      return;
    }
    this.#splitter =
      route.repetition === "resumable" ? new EventSplitter() : null;
    const leftMs = deadlineAtMs - clock.monotonicMs();
    const timer = setTimeout(() => this.#stop.abort(), leftMs);
    const leave = () => this.#stop.abort();
    this.#answer.gone.addEventListener("abort", leave, { once: true });
    if (this.#answer.gone.aborted) leave();
    try {
      while ((await this.#attempt(admitted)).type === "again") {}
    } finally {
      clearTimeout(timer);
    }
  }

  async #attempt(admitted: Admitted): Promise<Step> {
    const { scheduler } = this.#parts;
    const demand = this.#demand(admitted);
    const decision = await scheduler.place(demand, this.#stop.signal);
    if (decision.type !== "placed") return this.#unplaced(decision);
    this.#record.notePlaced(decision);
    return await this.#send(admitted, decision);
  }

  #isQuarantined(admitted: Admitted): boolean {
    const { quarantine } = this.#parts;
    if (quarantine.size === 0) return false;
    return quarantine.trust(this.#fingerprint(admitted)) === "refused";
  }

  #fingerprint({ team, body }: Admitted): string {
    const path = this.#request.url ?? "/";
    return fingerprintOf({ team: team ?? "", path, body });
  }

  #demand(admitted: Admitted): Demand {
    const { route, team, service, terms } = admitted;
    return {
      requestId: this.#record.facts.id,
      team: team ?? "",
      service,
      priority: route.priority,
      prompt: terms.prompt,
      objectiveAtMs: admitted.objectiveAtMs,
      objectiveMs: route.objectiveMs,
      deadlineAtMs: admitted.deadlineAtMs,
      excluded: this.#tried,
    };
  }

  #unplaced(decision: Exclude<Decision, Placement>): Step {
    switch (decision.type) {
      case "left":
        this.#stopped();
        return DONE;
      case "refused": {
        const { reason, retryAfterMs } = decision;
        if (this.#mayHaveRun || this.#answer.begun) {
          this.#fail(outcomeUnknown(reason, "No server is left to try"));
          return DONE;
        }
        const sentence = "No server has room in time";
        this.#fail(notRun(503, reason, { sentence, retryAfterMs }));
        return DONE;
      }
      default:
        return decision satisfies never;
    }
  }

  async #send(admitted: Admitted, placement: Placement): Promise<Step> {
    const { pool } = this.#parts;
    const { server } = placement;
    const lease = await pool.acquire(server);
    // After a stall, that the caller left may be read in this very turn.
    await nextTurn();
    if (lease.isErr()) {
      placement.end("unreachable");
      return this.#unreached(server, lease.error);
    }
    const { connection } = lease.value;
    if (this.#stop.signal.aborted || this.#answer.left) {
      pool.release(server, connection);
      placement.end("neutral");
      this.#stopped();
      return DONE;
    }
    this.#noteSend(admitted, server.id);
    const relay = new Relay(this.#answer, connection, {
      requestId: admitted.terms.id,
      dialect: this.#parts.dialect,
      holdsFailures: this.#canRepeat(admitted),
      events: this.#splitter,
      streaming: admitted.route.streaming,
      onFirstByte: () => this.#noteFirstByte(placement),
      silenceMs: this.#silenceMs(admitted),
    });
    const request = this.#backendRequest(admitted, placement);
    const end = await relay.run(request, this.#stop.signal);
    pool.release(server, connection);
    placement.end(outcomeOf(end));
    if (end.type === "broken") {
      const fingerprint = this.#fingerprint(admitted);
      this.#parts.crashes.noteBroken(server, fingerprint);
    }
    return this.#judge(admitted, end);
  }

  /** Only what may run again is sent elsewhere when a server is silent. */
  #silenceMs(admitted: Admitted): number | null {
    if (!this.#canRepeat(admitted)) return null;
    return admitted.route.objectiveMs * SILENCE_OBJECTIVES;
  }

  #noteSend({ service }: Admitted, server: string): void {
    this.#record.noteSend();
    if (this.#record.sends > 1) this.#parts.retries.noteRetry(service);
    this.#tried.add(server);
  }

  #noteFirstByte(placement: Placement): void {
    placement.read();
    this.#record.noteFirstByte();
  }

  #backendRequest(
    { terms, team, body, deadlineAtMs }: Admitted,
    { server, source }: Placement,
  ) {
    const { clock, dialect } = this.#parts;
    const lastEventId = this.#splitter?.lastId ?? terms.lastEventId;
    const remainingMs = deadlineAtMs - clock.monotonicMs();
    const sendTerms = { server, source, remainingMs, team, lastEventId };
    return {
      method: this.#request.method ?? "GET",
      path: this.#request.url ?? "/",
      headers: dialect.sendHeaders(this.#request.rawHeaders, sendTerms),
      body,
    };
  }

  #unreached(server: BackendServer, reason: string): Step {
    const { events, crashes } = this.#parts;
    const what = { request: this.#record.facts.id, server: server.id, reason };
    events.warn("server-unreachable", what);
    const strike = crashes.noteUnreachable(server);
    if (strike !== null) this.#parts.struck(strike);
    this.#unreachable += 1;
    if (this.#unreachable < UNREACHABLE_LIMIT) return AGAIN;
    this.#fail(
      this.#mayHaveRun
        ? outcomeUnknown("unreachable", "No server can be reached")
        : notRun(503, "unreachable", {
            sentence: "No server can be reached",
            retryAfterMs: ELSEWHERE_RETRY_MS,
          }),
    );
    return DONE;
  }

  #judge(admitted: Admitted, end: SendEnd): Step {
    switch (end.type) {
      case "complete":
        this.#record.end = "served";
        return DONE;
      case "aborted":
        this.#mayHaveRun = true;
        this.#stopped();
        return DONE;
      case "not-run":
        return this.#judgeNotRun(admitted, end.status);
      case "failed":
        this.#mayHaveRun = true;
        return this.#repeat(admitted, `Server answered ${end.status}`);
      case "broken":
        this.#mayHaveRun = true;
        return this.#repeat(admitted, end.reason);
      default:
        return end satisfies never;
    }
  }

  #judgeNotRun(admitted: Admitted, status: number): Step {
    if (
      this.#record.sends < admitted.route.maxAttempts &&
      this.#mayRetry(admitted)
    ) {
      this.#record.writeRetry("not-run", status);
      return AGAIN;
    }
    if (this.#mayHaveRun || this.#answer.begun) {
      this.#fail(outcomeUnknown("not-run", "The last server had no room"));
      return DONE;
    }
    const sentence = "The server did not run the request";
    const retryAfterMs = ELSEWHERE_RETRY_MS;
    this.#fail(notRun(503, "server-full", { sentence, retryAfterMs }));
    return DONE;
  }

  #repeat(admitted: Admitted, reason: string): Step {
    this.#splitter?.drop();
    if (this.#canRepeat(admitted) && this.#mayRetry(admitted)) {
      this.#record.writeRetry(reason, 0);
      return AGAIN;
    }
    this.#fail(outcomeUnknown("broken-answer", reason));
    return DONE;
  }

  #canRepeat({ route }: Admitted): boolean {
    const { repetition, maxAttempts } = route;
    return repetition !== "non-idempotent" && this.#record.sends < maxAttempts;
  }

  #mayRetry({ service }: Admitted): boolean {
    if (this.#stop.signal.aborted) return false;
    return this.#parts.retries.mayRetry(service);
  }

  /** The caller left, or the time is over. */
  #stopped(): void {
    if (this.#answer.left) {
      this.#record.end = "caller-left";
      return;
    }
    if (this.#mayHaveRun || this.#answer.begun) {
      this.#fail(deadlinePassed("unknown"));
      return;
    }
    const sentence = "The time was over before a server had room";
    const retryAfterMs = ELSEWHERE_RETRY_MS;
    this.#fail(notRun(503, "deadline", { sentence, retryAfterMs }));
  }

  #fail(failure: Failure): void {
    this.#record.end = failure.code;
    this.#answer.fail(failure, this.#parts.dialect);
  }
}

function outcomeOf(end: SendEnd): Outcome {
  switch (end.type) {
    case "complete":
      return end.status >= 500 ? "failed" : "served";
    case "failed":
    case "broken":
      return "failed";
    case "not-run":
      return "shed";
    case "aborted":
      return "neutral";
    default:
      return end satisfies never;
  }
}
