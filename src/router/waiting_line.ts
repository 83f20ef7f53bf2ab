/** Requests of one service that wait at this router, by team. */

import type { Clock } from "../common/clock.ts";
import { Deferred } from "../common/signal.ts";
import type { CallerRequest } from "./caller_request.ts";
import { DemandAnnouncer } from "./demand_announcer.ts";
import type { SidePeer } from "./side_peer.ts";

/** Why a request stopped waiting. */
export type Binding =
  | {
      readonly type: "bound";
      readonly peer: SidePeer;
      /** 0 for a request sent without a grant. */
      readonly grant: number;
    }
  | { readonly type: "no-server" }
  | { readonly type: "deadline" }
  | { readonly type: "caller-gone" };

interface Waiting {
  readonly request: CallerRequest;
  readonly bound: Deferred<Binding>;
}

/** Binds requests to grants as late as possible. */
export class WaitingLine {
  readonly #clock: Clock;
  readonly #teams = new Map<string, Waiting[]>();
  readonly #announcer: DemandAnnouncer;
  readonly #peers: () => readonly SidePeer[];

  constructor(clock: Clock, peers: () => readonly SidePeer[]) {
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
    for (const line of this.#teams.values()) size += line.length;
    return size;
  }

  /** Number of requests of a team that wait. */
  count(team: string): number {
    return this.#teams.get(team)?.length ?? 0;
  }

  /** Waits for a binding, at most until the request's deadline. */
  async wait(request: CallerRequest, gone: AbortSignal): Promise<Binding> {
    const bound = new Deferred<Binding>();
    const waiting = { request, bound };
    const timer = setTimeout(
      () => bound.resolve({ type: "deadline" }),
      request.deadline.remainingMs,
    );
    const leave = () => bound.resolve({ type: "caller-gone" });
    gone.addEventListener("abort", leave, { once: true });
    if (gone.aborted) leave();
    this.#insert(waiting);
    const binding = await bound.promise;
    clearTimeout(timer);
    gone.removeEventListener("abort", leave);
    if (binding.type !== "bound") this.#remove(waiting);
    return binding;
  }

  /** Binds the first request of a team; returns whether one waited. */
  bind(team: string, peer: SidePeer, grant: number): boolean {
    const line = this.#teams.get(team) ?? [];
    const first = line.find(({ bound }) => !bound.settled);
    if (first === undefined) return false;
    this.#remove(first);
    first.bound.resolve({ type: "bound", peer, grant });
    return true;
  }

  /** Gives up every request, as when no server is left. */
  giveUp(binding: Binding): void {
    for (const line of [...this.#teams.values()]) {
      for (const { bound } of line) bound.resolve(binding);
    }
  }

  /** Notes that a peer learned how many requests of a team wait. */
  learned(peer: SidePeer, team: string): void {
    this.#announcer.learned(peer, team, this.count(team));
  }

  /** Tells demand anew, as when a peer has connected or gone. */
  renew(peer: SidePeer): void {
    this.#announcer.forget(peer);
    peer.setAwaited(!this.empty);
    for (const team of this.#teams.keys()) this.#announcer.changed(team);
  }

  /** Keeps higher priority first, then earlier arrival. */
  #insert(waiting: Waiting): void {
    const { request } = waiting;
    const line = this.#teams.get(request.team) ?? [];
    const at = line.findLastIndex((other) => !goesAfter(other, waiting));
    line.splice(at + 1, 0, waiting);
    if (this.empty) this.#setAwaited(true);
    this.#teams.set(request.team, line);
    this.#announcer.changed(request.team);
  }

  #remove(waiting: Waiting): void {
    const { team } = waiting.request;
    const line = this.#teams.get(team);
    const at = line?.indexOf(waiting) ?? -1;
    if (line === undefined || at === -1) return;
    line.splice(at, 1);
    if (line.length === 0) this.#teams.delete(team);
    if (this.empty) this.#setAwaited(false);
    this.#announcer.changed(team);
  }

  #setAwaited(awaited: boolean): void {
    for (const peer of this.#peers()) peer.setAwaited(awaited);
  }

  #ageMs(team: string): number {
    const oldest = this.#teams.get(team)?.[0];
    if (oldest === undefined) return 0;
    return this.#clock.monotonicMs() - oldest.request.arrivedMs;
  }
}

function goesAfter(other: Waiting, waiting: Waiting): boolean {
  const a = other.request;
  const b = waiting.request;
  if (a.priority !== b.priority) return a.priority < b.priority;
  return a.arrivedMs > b.arrivedMs;
}
