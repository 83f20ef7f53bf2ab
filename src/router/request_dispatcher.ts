/**
 * Serves callers' requests: assigns each to a side process, relays the response
 * and retries where that is safe.
 */

import type { Clock } from "../common/clock.ts";
import { sleep } from "../common/promises.ts";
import type { Grant, RunRequest } from "../protocol/mod.ts";
import { mayHaveRun } from "./attempt_outcome.ts";
import type { CallerRequest } from "./caller_request.ts";
import type { CallerResponse } from "./caller_response.ts";
import { deadlinePassed, type Failure, notRun } from "./failure.ts";
import * as requestHistory from "./request_history.ts";
import {
  RequestMetrics,
  type RequestMetricsDependencies,
} from "./request_metrics.ts";
import { type Assignment, RequestQueue } from "./request_queue.ts";
import { relayResponse } from "./response_relay.ts";
import { RetryPolicy } from "./retry_policy.ts";
import type { SideProcessPeer } from "./side_process_peer.ts";
import type { SideProcessPool } from "./side_process_pool.ts";

/** Backoff before the first retry; it doubles with each retry, with jitter. */
const INITIAL_BACKOFF_MS = 25;
const MAX_BACKOFF_MS = 1_000;
const RETRY_AFTER_MS = 1_000;

/** Dependencies of the dispatcher. */
export interface RequestDispatcherDependencies
  extends RequestMetricsDependencies {
  readonly clock: Clock;
  readonly pool: SideProcessPool;
}

/** Serves each request in one asynchronous task, from arrival to response. */
export class RequestDispatcher {
  readonly #deps: RequestDispatcherDependencies;
  readonly #queues = new Map<string, RequestQueue>();
  readonly #retryPolicy = new RetryPolicy();
  readonly #metrics: RequestMetrics;
  /** Number of requests that have not ended, by team and service. */
  readonly #openRequests = new Map<string, number>();

  constructor(deps: RequestDispatcherDependencies) {
    this.#deps = deps;
    this.#metrics = new RequestMetrics(deps);
  }

  /** Number of requests that have not ended. */
  get openCount(): number {
    let open = 0;
    for (const count of this.#openRequests.values()) open += count;
    return open;
  }

  /** Number of requests that wait in a queue for a grant. */
  get waitingCount(): number {
    let waiting = 0;
    for (const queue of this.#queues.values()) waiting += queue.size;
    return waiting;
  }

  /** Serves one request; resolves once its response is complete or failed. */
  async serve(request: CallerRequest, response: CallerResponse): Promise<void> {
    const history = requestHistory.create();
    const refused = this.#checkLimits(request);
    if (refused !== null) {
      this.#metrics.respondWithFailure(request, response, {
        failure: refused,
        history,
      });
      return;
    }
    const key = `${request.team}\n${request.service.name}`;
    this.#openRequests.set(key, (this.#openRequests.get(key) ?? 0) + 1);
    this.#retryPolicy.recordRequest();
    const failure = await this.#runAttempts(request, response, history);
    const open = (this.#openRequests.get(key) ?? 1) - 1;
    if (open === 0) this.#openRequests.delete(key);
    else this.#openRequests.set(key, open);
    if (failure === null)
      this.#metrics.recordResponse(request, response, history);
    else
      this.#metrics.respondWithFailure(request, response, { failure, history });
  }

  /** Assigns a grant to a queued request of the team, or returns it unused. */
  handleGrant(peer: SideProcessPeer, { grant, team }: Grant): void {
    const queue = this.#queue(peer.instance.service);
    if (queue.assign(team, peer, grant)) return;
    const waiting = queue.count(team);
    queue.recordKnownCount(peer, team);
    peer.send({ type: "grant-unused", grant, team, waiting });
  }

  /** Announces demand again after a peer has connected or disconnected. */
  reannounceDemand(peer: SideProcessPeer): void {
    this.#queue(peer.instance.service).reannounce(peer);
  }

  /** Fails every queued request of a service that has no server left. */
  failWaiting(service: string): void {
    this.#queues.get(service)?.settleAll({ type: "no-server" });
  }

  /** Returns why a request can't be queued, or null if it can. */
  #checkLimits(request: CallerRequest): Failure | null {
    const { team, service, maxInProgress, maxWaiting } = request;
    const retry = { retryAfterMs: RETRY_AFTER_MS };
    if (this.#deps.pool.usablePeers(service.name).length === 0) {
      const sentence = `No backend server of "${service.name}" can be reached`;
      return notRun(503, "no-server", { sentence, ...retry });
    }
    if (this.#queue(service.name).count(team) >= maxWaiting) {
      const sentence = `${maxWaiting} requests of the team are queued already`;
      return notRun(429, "too-many-waiting", { sentence, ...retry });
    }
    const open = this.#openRequests.get(`${team}\n${service.name}`) ?? 0;
    const limit = maxInProgress + maxWaiting;
    if (open < limit) return null;
    const sentence = `${open} requests of the team are in progress already`;
    return notRun(429, "too-many-in-progress", { sentence, ...retry });
  }

  /**
   * Runs attempts until one is final. Returns null if the caller has its
   * response or has disconnected, otherwise the failure to send to it.
   */
  async #runAttempts(
    request: CallerRequest,
    response: CallerResponse,
    history: requestHistory.RequestHistory,
  ): Promise<Failure | null> {
    let maySkipGrant = true;
    for (let number = 1; ; number += 1) {
      const fromMs = this.#deps.clock.monotonicMs();
      const assignment = await this.#assignSideProcess(
        request,
        response.disconnectSignal,
        { maySkipGrant },
      );
      history.waitedMs += this.#deps.clock.monotonicMs() - fromMs;
      if (assignment.type !== "bound") {
        const failure = assignmentFailure(request, assignment);
        return failure === null ? null : correctOutcome(failure, history);
      }
      const run = this.#createRun(request, number, assignment.grant);
      this.#queue(request.service.name).recordKnownCount(
        assignment.peer,
        run.team,
      );
      const { clock } = this.#deps;
      const outcome = await relayResponse(assignment.peer, run, {
        request,
        response,
        clock,
      });
      const decision = this.#retryPolicy.decide(request, response, outcome);
      switch (decision.type) {
        case "done":
          return null;
        case "fail":
          return correctOutcome(decision.failure, history);
        case "requeue":
          if (run.grant !== 0) await sleep(decision.afterMs);
          break;
        case "retry":
          history.mayHaveRun ||= mayHaveRun(outcome);
          history.retries += 1;
          await backOff(history.retries);
          break;
        default:
          return decision satisfies never;
      }
      maySkipGrant = false;
    }
  }

  /**
   * Takes a free slot at once if no request is queued; otherwise queues the
   * request until a grant arrives.
   */
  async #assignSideProcess(
    request: CallerRequest,
    disconnectSignal: AbortSignal,
    { maySkipGrant }: { readonly maySkipGrant: boolean },
  ): Promise<Assignment> {
    const service = request.service.name;
    const queue = this.#queue(service);
    if (maySkipGrant && queue.empty) {
      const peer = this.#deps.pool.leastLoadedPeer(service);
      if (peer !== null) return { type: "bound", peer, grant: 0 };
    }
    return await queue.wait(request, disconnectSignal);
  }

  #createRun(
    request: CallerRequest,
    number: number,
    grant: number,
  ): RunRequest {
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
      waiting: this.#queue(service.name).count(request.team),
    };
  }

  #queue(service: string): RequestQueue {
    const known = this.#queues.get(service);
    if (known !== undefined) return known;
    const { clock, pool } = this.#deps;
    const queue = new RequestQueue(clock, () => pool.usablePeers(service));
    this.#queues.set(service, queue);
    return queue;
  }
}

function assignmentFailure(
  request: CallerRequest,
  assignment: Assignment,
): Failure | null {
  const retryAfterMs = RETRY_AFTER_MS;
  switch (assignment.type) {
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
      return assignment satisfies never;
  }
}

/**
 * Changes the outcome "not-run" to "unknown" if an earlier attempt may have
 * run: the caller must not take a repeat for safe.
 */
function correctOutcome(
  failure: Failure,
  history: requestHistory.RequestHistory,
): Failure {
  if (!history.mayHaveRun || failure.outcome !== "not-run") return failure;
  return { ...failure, outcome: "unknown" };
}

async function backOff(retries: number): Promise<void> {
  const exponentialMs = INITIAL_BACKOFF_MS * 2 ** (retries - 1);
  const cappedMs = Math.min(MAX_BACKOFF_MS, exponentialMs);
  await sleep(cappedMs * (0.5 + Math.random() / 2));
}
