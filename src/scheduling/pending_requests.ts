/** The requests of one router that wait for a server. */

import type { Clock } from "../common/clock.ts";
import * as fairness from "../fairness/mod.ts";
import { FairQueue } from "./fair_queue.ts";
import type { PendingRequest } from "./pending_request.ts";

/** Waiting requests: queued per service, or awaiting a permit. */
export class PendingRequests<D> {
  readonly #clock: Clock;
  readonly #pending = new Set<PendingRequest<D>>();
  readonly #queues = new Map<string, FairQueue<PendingRequest<D>>>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.#pending.size;
  }

  /** Services that have had waiting requests. */
  get services(): Iterable<string> {
    return this.#queues.keys();
  }

  /** All waiting requests; the caller may settle them meanwhile. */
  list(): PendingRequest<D>[] {
    return [...this.#pending];
  }

  /** The queue of a service. */
  queueOf(service: string): FairQueue<PendingRequest<D>> {
    const known = this.#queues.get(service);
    if (known !== undefined) return known;
    const recentUsage = new fairness.RecentUsage(this.#clock);
    const queue = new FairQueue<PendingRequest<D>>(recentUsage);
    this.#queues.set(service, queue);
    return queue;
  }

  /** Queues a new request. */
  add(pending: PendingRequest<D>): void {
    this.#pending.add(pending);
    this.queueOf(pending.demand.service).add(pending);
  }

  /** Ends the wait of a request. */
  settle(pending: PendingRequest<D>, decision: D): void {
    this.#pending.delete(pending);
    this.queueOf(pending.demand.service).remove(pending);
    pending.settle(decision);
  }

  /** Queues a request again that awaited a permit. */
  requeue(pending: PendingRequest<D>): void {
    if (pending.state.type !== "awaiting-permit") return;
    pending.state.withdraw();
    pending.state = { type: "queued" };
    this.queueOf(pending.demand.service).add(pending);
  }

  /** Teams with requests that wait for a server or a permit. */
  teamsOf(service: string): ReadonlySet<string> {
    const teams = new Set<string>();
    for (const { demand } of this.#pending)
      if (demand.service === service) teams.add(demand.team);
    return teams;
  }
}
