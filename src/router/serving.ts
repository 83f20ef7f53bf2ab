/** Serves requests: binds, follows the answer, retries where that is safe. */

import type { Clock } from "../common/clock.ts";
import { sleep } from "../common/signal.ts";
import type { Registry } from "../metrics/mod.ts";
import type { Failed, Grant, Head, Refused, Run } from "../protocol/mod.ts";
import type { BurnRecorder } from "../report/mod.ts";
import type { Lost } from "./answer_event.ts";
import type { Attempt } from "./attempt.ts";
import type { CallerAnswer } from "./caller_answer.ts";
import type { CallerRequest } from "./caller_request.ts";
import {
  deadlinePassed,
  type Failure,
  notRun,
  outcomeUnknown,
} from "./failure.ts";
import type { Fleet } from "./fleet.ts";
import * as journey from "./journey.ts";
import { RetryBudget } from "./retry_budget.ts";
import type { SidePeer } from "./side_peer.ts";
import { type Binding, WaitingLine } from "./waiting_line.ts";

/** Delivered bytes after which the side process may drop them. */
const ACKNOWLEDGE_BYTES = 16 * 1024;
/** Wait before a retry, doubled by each one and jittered. */
const RETRY_BACKOFF_MS = 25;
const LONGEST_BACKOFF_MS = 1_000;
const RETRY_AFTER_MS = 1_000;

/** What serving shares with the rest of the process. */
export interface ServingParts {
  readonly clock: Clock;
  readonly fleet: Fleet;
  readonly metrics: Registry;
  readonly burn: BurnRecorder;
}

/** How an attempt ended. */
type Outcome =
  | { readonly type: "answered" }
  | { readonly type: "caller-gone" }
  | { readonly type: "deadline" }
  | Refused
  | Failed
  | Lost;

/** What to do after an attempt. */
type Decision =
  | { readonly type: "done" }
  | { readonly type: "fail"; readonly failure: Failure }
  | { readonly type: "requeue"; readonly afterMs: number }
  | { readonly type: "retry" };

/** One straight task per request. */
export class Serving {
  readonly #parts: ServingParts;
  readonly #lines = new Map<string, WaitingLine>();
  readonly #retries = new RetryBudget();
  /** Requests of each team and service that have not ended. */
  readonly #open = new Map<string, number>();

  constructor(parts: ServingParts) {
    this.#parts = parts;
  }

  /** Requests that have not ended. */
  get open(): number {
    let open = 0;
    for (const count of this.#open.values()) open += count;
    return open;
  }

  /** Requests that wait for a grant. */
  get waiting(): number {
    let waiting = 0;
    for (const line of this.#lines.values()) waiting += line.size;
    return waiting;
  }

  /** Serves a request to its end; the answer is complete afterwards. */
  async serve(request: CallerRequest, answer: CallerAnswer): Promise<void> {
    const path = journey.begin();
    const refused = this.#bounds(request);
    if (refused !== null) {
      this.#fail(request, answer, { failure: refused, path });
      return;
    }
    const key = `${request.team}\n${request.service.name}`;
    this.#open.set(key, (this.#open.get(key) ?? 0) + 1);
    this.#retries.earn();
    const failure = await this.#attempts(request, answer, path);
    const open = (this.#open.get(key) ?? 1) - 1;
    if (open === 0) this.#open.delete(key);
    else this.#open.set(key, open);
    if (failure === null) this.#measure(request, answer, path);
    else this.#fail(request, answer, { failure, path });
  }

  /** Binds a waiting request to a grant, or gives the grant back. */
  granted(peer: SidePeer, { grant, team }: Grant): void {
    const line = this.#line(peer.instance.service);
    if (line.bind(team, peer, grant)) return;
    const waiting = line.count(team);
    line.learned(peer, team);
    peer.send({ type: "grant-unused", grant, team, waiting });
  }

  /** Tells anew what waits when a peer has connected or gone. */
  renewDemand(peer: SidePeer): void {
    this.#line(peer.instance.service).renew(peer);
  }

  /** Gives up what waits for a service that has no server left. */
  giveUp(service: string): void {
    this.#lines.get(service)?.giveUp({ type: "no-server" });
  }

  /** Services for which requests wait. */
  get services(): string[] {
    return [...this.#lines]
      .filter(([, line]) => !line.empty)
      .map(([service]) => service);
  }

  /** Returns why a request can't even wait, or null. */
  #bounds(request: CallerRequest): Failure | null {
    const { team, service, maxInProgress, maxWaiting } = request;
    const retry = { retryAfterMs: RETRY_AFTER_MS };
    if (this.#parts.fleet.usable(service.name).length === 0) {
      const sentence = `No backend server of "${service.name}" can be reached`;
      return notRun(503, "no-server", { sentence, ...retry });
    }
    if (this.#line(service.name).count(team) >= maxWaiting) {
      const sentence = `${maxWaiting} requests of the team wait already`;
      return notRun(429, "too-many-waiting", { sentence, ...retry });
    }
    const open = this.#open.get(`${team}\n${service.name}`) ?? 0;
    const limit = maxInProgress + maxWaiting;
    if (open < limit) return null;
    const sentence = `${open} requests of the team are in progress already`;
    return notRun(429, "too-many-in-progress", { sentence, ...retry });
  }

  /** Returns null once the caller has its answer. */
  async #attempts(
    request: CallerRequest,
    answer: CallerAnswer,
    path: journey.Journey,
  ): Promise<Failure | null> {
    let direct = true;
    for (let number = 1; ; number += 1) {
      const fromMs = this.#parts.clock.monotonicMs();
      const binding = await this.#bind(request, answer.gone, { direct });
      path.waitedMs += this.#parts.clock.monotonicMs() - fromMs;
      if (binding.type !== "bound") {
        const failure = notBound(request, binding);
        return failure === null ? null : truthful(failure, path);
      }
      const run = this.#run(request, number, binding.grant);
      const outcome = await this.#once(binding.peer, run, { request, answer });
      const decision = this.#decide(request, answer, outcome);
      switch (decision.type) {
        case "done":
          return null;
        case "fail":
          return truthful(decision.failure, path);
        case "requeue":
          if (run.grant !== 0) await sleep(decision.afterMs);
          break;
        case "retry":
          path.mayHaveRun ||= outcome.type === "lost" || isUnknown(outcome);
          path.retries += 1;
          await backOff(path.retries);
          break;
        default:
          return decision satisfies never;
      }
      direct = false;
    }
  }

  async #bind(
    request: CallerRequest,
    gone: AbortSignal,
    { direct }: { readonly direct: boolean },
  ): Promise<Binding> {
    const service = request.service.name;
    const line = this.#line(service);
    if (direct && line.empty) {
      const peer = this.#parts.fleet.mostFree(service);
      if (peer !== null) return { type: "bound", peer, grant: 0 };
    }
    return await line.wait(request, gone);
  }

  #run(request: CallerRequest, number: number, grant: number): Run {
    const { service, deadline } = request;
    return {
      type: "run",
      attempt: `${request.number}.${number}`,
      grant,
      team: request.team,
      kind: request.kind,
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: request.body,
      idempotent: request.idempotent,
      idempotencyKey: request.idempotencyKey,
      remainingMs: deadline.remainingMs,
      costHint: request.costHint,
      waiting: this.#line(service.name).count(request.team),
    };
  }

  async #once(
    peer: SidePeer,
    run: Run,
    { request, answer }: { request: CallerRequest; answer: CallerAnswer },
  ): Promise<Outcome> {
    const attempt = peer.start(run);
    this.#line(request.service.name).learned(peer, run.team);
    const { deadline } = request;
    const stop = () => attempt.lose("Nobody waits for the answer");
    const timer = setTimeout(stop, deadline.remainingMs);
    answer.gone.addEventListener("abort", stop, { once: true });
    if (answer.gone.aborted) stop();
    const outcome = await this.#follow(peer, attempt, answer);
    clearTimeout(timer);
    answer.gone.removeEventListener("abort", stop);
    if (outcome.type !== "lost") {
      peer.finish(attempt);
      return outcome;
    }
    peer.cancel(attempt);
    if (answer.gone.aborted) return { type: "caller-gone" };
    return deadline.expired ? { type: "deadline" } : outcome;
  }

  async #follow(
    peer: SidePeer,
    attempt: Attempt,
    answer: CallerAnswer,
  ): Promise<Outcome> {
    const name = attempt.run.attempt;
    let acknowledged = 0;
    // Kept back until a body follows: until then, a retry is possible.
    let head: Head | null = null;
    const begin = () => {
      if (head !== null) answer.begin(head);
      head = null;
    };
    const acknowledge = (offset: number) => {
      acknowledged = offset;
      peer.send({ type: "acknowledge", attempt: name, offset });
    };
    for await (const event of attempt.events) {
      switch (event.type) {
        case "head":
          head = event;
          break;
        case "data": {
          begin();
          await answer.write(
            event.bytes as Buffer,
            this.#parts.clock.monotonicMs(),
          );
          const delivered = event.offset + event.bytes.length;
          if (delivered - acknowledged >= ACKNOWLEDGE_BYTES) {
            acknowledge(delivered);
          }
          break;
        }
        case "end":
          begin();
          peer.delivered(attempt);
          answer.end();
          return { type: "answered" };
        case "refused":
        case "failed":
        case "lost":
          return event;
        default:
          return event satisfies never;
      }
    }
    throw new Error("Attempt ended without an outcome");
  }

  #decide(
    request: CallerRequest,
    answer: CallerAnswer,
    outcome: Outcome,
  ): Decision {
    switch (outcome.type) {
      case "answered":
      case "caller-gone":
        return { type: "done" };
      case "deadline":
        return { type: "fail", failure: deadlinePassed("unknown") };
      case "refused":
        return this.#decideRefused(request, outcome);
      case "failed":
        return this.#decideFailed(request, answer, outcome);
      case "lost":
        return this.#decideLost(request, answer, {
          code: "side-process-lost",
          sentence: outcome.sentence,
        });
      default:
        return outcome satisfies never;
    }
  }

  #decideRefused({ deadline }: CallerRequest, refused: Refused): Decision {
    const { code, retryAfterMs } = refused;
    switch (code) {
      case "busy":
      case "leaving":
        return { type: "requeue", afterMs: retryAfterMs };
      case "unknown-attempt":
        if (this.#retries.spend()) return { type: "retry" };
        break;
      case "deadline":
        if (!deadline.expired) return { type: "requeue", afterMs: 0 };
        return { type: "fail", failure: deadlinePassed("not-run") };
      case "quarantined":
        break;
      default:
        code satisfies never;
    }
    const sentence = REFUSAL_SENTENCES[code];
    const failure = notRun(503, code, { sentence, retryAfterMs });
    return { type: "fail", failure };
  }

  #decideFailed(
    request: CallerRequest,
    answer: CallerAnswer,
    failed: Failed,
  ): Decision {
    const { outcome, code, sentence, retryAfterMs } = failed;
    const status = FINAL_STATUSES[code];
    if (status !== undefined) {
      const retry = { sentence, retryAfterMs };
      const failure = { ...notRun(status, code, retry), outcome };
      return { type: "fail", failure };
    }
    if (outcome === "not-run" && !answer.begun) {
      if (this.#retries.spend()) return { type: "retry" };
      const failure = notRun(503, code, { sentence, retryAfterMs });
      return { type: "fail", failure };
    }
    return this.#decideLost(request, answer, { code, sentence });
  }

  /** A request that may have run runs again only if it is idempotent. */
  #decideLost(
    { idempotent }: CallerRequest,
    answer: CallerAnswer,
    { code, sentence }: { readonly code: string; readonly sentence: string },
  ): Decision {
    const again = idempotent && !answer.begun && this.#retries.spend();
    if (again) return { type: "retry" };
    return { type: "fail", failure: outcomeUnknown(code, sentence) };
  }

  #line(service: string): WaitingLine {
    const known = this.#lines.get(service);
    if (known !== undefined) return known;
    const { clock, fleet } = this.#parts;
    const line = new WaitingLine(clock, () => fleet.usable(service));
    this.#lines.set(service, line);
    return line;
  }

  #fail(
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

  #measure(
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

/** Failures that another attempt can't mend, with their statuses. */
const FINAL_STATUSES: Readonly<Record<string, number>> = {
  "key-in-use": 409,
  "key-mismatch": 422,
  "key-outcome-unknown": 502,
  "key-answer-not-kept": 502,
  "arbiter-unavailable": 503,
};

const REFUSAL_SENTENCES: Record<Refused["code"], string> = {
  busy: "Every backend server is busy",
  leaving: "The backend server is leaving",
  "unknown-attempt": "The request did not reach its side process",
  deadline: "The deadline had passed before the request started",
  quarantined: "The request crashed backend servers before",
};

function notBound(request: CallerRequest, binding: Binding): Failure | null {
  const retryAfterMs = RETRY_AFTER_MS;
  switch (binding.type) {
    case "deadline":
      return deadlinePassed("not-run");
    case "no-server": {
      const { name } = request.service;
      const sentence = `No backend server of "${name}" can be reached`;
      return notRun(503, "no-server", { sentence, retryAfterMs });
    }
    case "caller-gone":
    case "bound":
      return null;
    default:
      return binding satisfies never;
  }
}

function isUnknown(outcome: Outcome): boolean {
  return outcome.type === "failed" && outcome.outcome !== "not-run";
}

/** "Not run" must not be said after an attempt that may have run. */
function truthful(failure: Failure, path: journey.Journey): Failure {
  if (!path.mayHaveRun || failure.outcome !== "not-run") return failure;
  return { ...failure, outcome: "unknown" };
}

async function backOff(retries: number): Promise<void> {
  const longestMs = RETRY_BACKOFF_MS * 2 ** (retries - 1);
  const ms = Math.min(LONGEST_BACKOFF_MS, longestMs);
  await sleep(ms * (0.5 + Math.random() / 2));
}
