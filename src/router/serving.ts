/** Serves requests: binds, follows the answer, retries where that is safe. */

import type { Clock } from "../common/clock.ts";
import { sleep } from "../common/signal.ts";
import type { Grant, Run } from "../protocol/mod.ts";
import type { CallerAnswer } from "./caller_answer.ts";
import type { CallerRequest } from "./caller_request.ts";
import { Decider } from "./decider.ts";
import { deadlinePassed, type Failure, notRun } from "./failure.ts";
import type { Fleet } from "./fleet.ts";
import * as journey from "./journey.ts";
import { mayHaveRun } from "./outcome.ts";
import { pass } from "./pass.ts";
import { Recorder, type RecorderParts } from "./recorder.ts";
import type { SidePeer } from "./side_peer.ts";
import { type Binding, WaitingLine } from "./waiting_line.ts";

/** Wait before a retry, doubled by each one and jittered. */
const RETRY_BACKOFF_MS = 25;
const LONGEST_BACKOFF_MS = 1_000;
const RETRY_AFTER_MS = 1_000;

/** What serving shares with the rest of the process. */
export interface ServingParts extends RecorderParts {
  readonly clock: Clock;
  readonly fleet: Fleet;
}

/** One straight task per request. */
export class Serving {
  readonly #parts: ServingParts;
  readonly #lines = new Map<string, WaitingLine>();
  readonly #decider = new Decider();
  readonly #recorder: Recorder;
  /** Requests of each team and service that have not ended. */
  readonly #open = new Map<string, number>();

  constructor(parts: ServingParts) {
    this.#parts = parts;
    this.#recorder = new Recorder(parts);
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
      this.#recorder.fail(request, answer, { failure: refused, path });
      return;
    }
    const key = `${request.team}\n${request.service.name}`;
    this.#open.set(key, (this.#open.get(key) ?? 0) + 1);
    this.#decider.earn();
    const failure = await this.#attempts(request, answer, path);
    const open = (this.#open.get(key) ?? 1) - 1;
    if (open === 0) this.#open.delete(key);
    else this.#open.set(key, open);
    if (failure === null) this.#recorder.measure(request, answer, path);
    else this.#recorder.fail(request, answer, { failure, path });
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
      this.#line(request.service.name).learned(binding.peer, run.team);
      const { clock } = this.#parts;
      const outcome = await pass(binding.peer, run, { request, answer, clock });
      const decision = this.#decider.decide(request, answer, outcome);
      switch (decision.type) {
        case "done":
          return null;
        case "fail":
          return truthful(decision.failure, path);
        case "requeue":
          if (run.grant !== 0) await sleep(decision.afterMs);
          break;
        case "retry":
          path.mayHaveRun ||= mayHaveRun(outcome);
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

  #line(service: string): WaitingLine {
    const known = this.#lines.get(service);
    if (known !== undefined) return known;
    const { clock, fleet } = this.#parts;
    const line = new WaitingLine(clock, () => fleet.usable(service));
    this.#lines.set(service, line);
    return line;
  }
}

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
