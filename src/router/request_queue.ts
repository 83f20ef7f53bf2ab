/** Queue of the requests of one service at this router, by team. */

import type { Clock } from "../common/clock.ts";
import { Deferred } from "../common/promises.ts";
import { timerMs } from "../common/timer.ts";
import type { CallerRequest } from "./caller_request.ts";
import { DemandAnnouncer } from "./demand_announcer.ts";
import type { SideProcessPeer } from "./side_process_peer.ts";

/** The side process that a request is assigned to, or why there is none. */
export type Assignment =
  | {
      readonly type: "bound";
      readonly peer: SideProcessPeer;
      /** Number of the grant; 0 for a request sent without one. */
      readonly grant: number;
    }
  | { readonly type: "no-server" }
  | { readonly type: "deadline" }
  | { readonly type: "caller-gone" };

interface QueuedRequest {
  readonly request: CallerRequest;
  readonly result: Deferred<Assignment>;
}

/**
 * Queues requests until a grant arrives. A request is chosen only then, so that
 * one of a higher priority that arrived meanwhile goes first.
 */
export class RequestQueue {
  readonly #clock: Clock;
  readonly #teams = new Map<string, QueuedRequest[]>();
  readonly #announcer: DemandAnnouncer;
  readonly #peers: () => readonly SideProcessPeer[];

  constructor(clock: Clock, peers: () => readonly SideProcessPeer[]) {
    this.#clock = clock;
    this.#peers = peers;
    this.#announcer = new DemandAnnouncer({
      peers,
      count: (team) => this.count(team),
      ageMs: (team) => this.#ageMs(team),
    });
  }

  /** Whether no request waits. */
  get empty(): boolean {
    return this.#teams.size === 0;
  }

  /** Number of requests that wait. */
  get size(): number {
    let size = 0;
    for (const queue of this.#teams.values()) size += queue.length;
    return size;
  }

  /** Number of requests of a team that wait. */
  count(team: string): number {
    return this.#teams.get(team)?.length ?? 0;
  }

  /** Waits for an assignment, at most until the request's deadline. */
  async wait(
    request: CallerRequest,
    disconnectSignal: AbortSignal,
  ): Promise<Assignment> {
    const result = new Deferred<Assignment>();
    const waiting = { request, result };
    const timer = setTimeout(
      () => result.resolve({ type: "deadline" }),
      timerMs(request.deadline.remainingMs),
    );
    const onDisconnect = () => result.resolve({ type: "caller-gone" });
    disconnectSignal.addEventListener("abort", onDisconnect, { once: true });
    if (disconnectSignal.aborted) onDisconnect();
    this.#insert(waiting);
    const assignment = await result.promise;
    clearTimeout(timer);
    disconnectSignal.removeEventListener("abort", onDisconnect);
    if (assignment.type !== "bound") this.#remove(waiting);
    return assignment;
  }

  /** Assigns a grant to a team's first request; returns false if it has none. */
  assign(team: string, peer: SideProcessPeer, grant: number): boolean {
    const queue = this.#teams.get(team) ?? [];
    const first = queue.find(({ result }) => !result.settled);
    if (first === undefined) return false;
    this.#remove(first);
    first.result.resolve({ type: "bound", peer, grant });
    return true;
  }

  /** Ends the wait of every request, for example when no server is left. */
  settleAll(assignment: Assignment): void {
    for (const queue of [...this.#teams.values()]) {
      for (const { result } of queue) result.resolve(assignment);
    }
  }

  /** Records that a peer was just sent the queue length of a team. */
  recordKnownCount(peer: SideProcessPeer, team: string): void {
    this.#announcer.recordKnownCount(peer, team, this.count(team));
  }

  /** Announces demand again after a peer has connected or disconnected. */
  reannounce(peer: SideProcessPeer): void {
    this.#announcer.forget(peer);
    peer.setDemandPending(!this.empty);
    for (const team of this.#teams.keys()) this.#announcer.markChanged(team);
  }

  /** Inserts by descending priority, then by time of arrival. */
  #insert(waiting: QueuedRequest): void {
    const { request } = waiting;
    const queue = this.#teams.get(request.team) ?? [];
    const at = queue.findLastIndex((other) => !goesAfter(other, waiting));
    queue.splice(at + 1, 0, waiting);
    if (this.empty) this.#setDemandPending(true);
    this.#teams.set(request.team, queue);
    this.#announcer.markChanged(request.team);
  }

  #remove(waiting: QueuedRequest): void {
    const { team } = waiting.request;
    const queue = this.#teams.get(team);
    const at = queue?.indexOf(waiting) ?? -1;
    if (queue === undefined || at === -1) return;
    queue.splice(at, 1);
    if (queue.length === 0) this.#teams.delete(team);
    if (this.empty) this.#setDemandPending(false);
    this.#announcer.markChanged(team);
  }

  #setDemandPending(pending: boolean): void {
    for (const peer of this.#peers()) peer.setDemandPending(pending);
  }

  /** Age of the request that the team's next grant goes to. */
  #ageMs(team: string): number {
    const first = this.#teams.get(team)?.[0];
    if (first === undefined) return 0;
    return this.#clock.monotonicMs() - first.request.arrivedMs;
  }
}

function goesAfter(other: QueuedRequest, waiting: QueuedRequest): boolean {
  const a = other.request;
  const b = waiting.request;
  if (a.priority !== b.priority) return a.priority < b.priority;
  return a.arrivedMs > b.arrivedMs;
}
