/**
 * Assigns the backend server's slots to teams, the least served team first.
 *
 * A router starts a run either with a grant that it received for a waiting
 * request, or without one while slots are free and no request waits.
 */

import type { Clock } from "../common/clock.ts";
import type { ActiveConfiguration, Meter } from "../configuration/mod.ts";
import {
  CostEstimator,
  type Ledger,
  type UpdatePublisher,
} from "../fairness/mod.ts";
import type { RunRequest, TeamDemand, UnusedGrant } from "../protocol/mod.ts";
import { Charge } from "./charge.ts";
import { DemandTable } from "./demand_table.ts";
import { SlotTime } from "./slot_time.ts";

/** Time after which a grant that was neither used nor returned is cancelled. */
const GRANT_TIMEOUT_MS = 1_000;
/** Kind used to estimate the cost of a grant before its request is known. */
const UNKNOWN_KIND = "";
/** For teams that the active configuration does not list. */
const DEFAULT_METER: Meter = {
  type: "tokens",
  promptWeight: 1,
  generatedWeight: 1,
};

/** A connected router, to which grants and free slots are sent. */
export interface GrantReceiver {
  sendGrant(grant: number, team: string): void;
  sendAvailability(free: number, slots: number): void;
}

interface OutstandingGrant {
  readonly team: string;
  readonly charge: Charge;
  readonly timer: NodeJS.Timeout;
}

/** Whether a run gets a slot, with the cost charged to its team. */
export type Admission =
  | { readonly type: "admitted"; readonly charge: Charge }
  | { readonly type: "busy" };

/** Dependencies of the dispatcher. */
export interface DispatcherDependencies {
  readonly clock: Clock;
  readonly active: ActiveConfiguration;
  readonly ledger: Ledger;
  readonly publisher: UpdatePublisher;
}

/** How many requests the backend server gets at once. */
export interface SlotLimits {
  readonly slots: number;
  /** Requests granted beyond the slots; they queue at the server. */
  readonly grantsAhead: number;
}

/** Decides which team's request takes the next slot of the server. */
export class Dispatcher {
  readonly #deps: DispatcherDependencies;
  readonly #limits: SlotLimits;
  readonly #demand: DemandTable<GrantReceiver>;
  readonly #estimator = new CostEstimator();
  readonly #grants = new Map<number, OutstandingGrant>();
  /** Slot time by state, for the metrics. */
  readonly slotTime: SlotTime;
  /** Routers refused as busy; they are notified once slots are free. */
  readonly #refusedRouters = new Set<GrantReceiver>();
  #lastGrantId = 0;
  #running = 0;
  #paused = false;

  constructor(deps: DispatcherDependencies, limits: SlotLimits) {
    this.#deps = deps;
    this.#limits = limits;
    this.#demand = new DemandTable(deps.clock);
    this.slotTime = new SlotTime(deps.clock, limits.slots);
  }

  /** Number of requests that hold a slot. */
  get running(): number {
    return this.#running;
  }

  /** Number of grants that no router has used or returned yet. */
  get outstanding(): number {
    return this.#grants.size;
  }

  /** Number of slots that are neither in use nor granted. */
  get free(): number {
    return Math.max(0, this.#limits.slots - this.#running - this.#grants.size);
  }

  /**
   * Mean cost of a request, divided by its team's weight. The change after
   * which counters are sent to peers is a multiple of it.
   */
  get meanCost(): number {
    return this.#estimator.meanCost;
  }

  /**
   * Stops or resumes granting and admitting runs. Paused while the backend
   * server is down and while this process is leaving.
   */
  setPaused(paused: boolean): void {
    this.#paused = paused;
    if (!paused) this.#issueGrants();
    this.#recordSlotUse();
  }

  /** Sends the number of free slots to one router, unless paused. */
  sendAvailability(router: GrantReceiver): void {
    if (this.#paused) return;
    router.sendAvailability(this.#freeWhenNoneWaiting(), this.#limits.slots);
  }

  /** Updates how many requests wait at a router, for the teams listed. */
  setDemand(router: GrantReceiver, teams: readonly TeamDemand[]): void {
    for (const [team, count, ageMs] of teams) {
      this.#demand.set(router, team, { count, ageMs });
      this.#updateWaiting(team);
    }
    this.#issueGrants();
  }

  /** Removes a disconnected router with its waiting requests. */
  removeRouter(router: GrantReceiver): void {
    this.#refusedRouters.delete(router);
    for (const team of this.#demand.remove(router)) this.#updateWaiting(team);
  }

  /**
   * Gives a run a slot if it names an outstanding grant, or if slots are free
   * and no request waits anywhere; answers "busy" otherwise. The caller must
   * call `release` when an admitted run ends.
   */
  admit(router: GrantReceiver, run: RunRequest): Admission {
    const admission = this.#decide(router, run);
    // The router doesn't announce the demand that a run has told of again.
    this.#updateDemand(router, run.team, run.waiting);
    this.#issueGrants();
    return admission;
  }

  #decide(router: GrantReceiver, run: RunRequest): Admission {
    const grant = this.#grants.get(run.grant);
    if (grant !== undefined) {
      this.#removeGrant(run.grant, grant);
      grant.charge.refine(run);
      this.#running += 1;
      return { type: "admitted", charge: grant.charge };
    }
    if (this.#paused || this.#freeWhenNoneWaiting() === 0) {
      this.#refusedRouters.add(router);
      return { type: "busy" };
    }
    this.#deps.ledger.setWaiting(run.team, true);
    this.#deps.ledger.raiseFloor(run.team);
    const charge = this.#openCharge(run.team);
    charge.refine(run);
    this.#running += 1;
    return { type: "admitted", charge };
  }

  /** Cancels a grant that a router could not use, and grants its slot anew. */
  returnGrant(router: GrantReceiver, unused: UnusedGrant): void {
    const grant = this.#grants.get(unused.grant);
    if (grant !== undefined) this.#cancelGrant(unused.grant, grant);
    this.#updateDemand(router, unused.team, unused.waiting);
    this.#issueGrants();
  }

  /** Frees the slot of an admitted run that has ended. */
  release(): void {
    this.#running -= 1;
    this.#issueGrants();
  }

  #freeWhenNoneWaiting(): number {
    return this.#demand.empty ? this.free : 0;
  }

  #updateDemand(router: GrantReceiver, team: string, count: number): void {
    this.#demand.set(router, team, { count, ageMs: 0 });
    this.#updateWaiting(team);
  }

  #updateWaiting(team: string): void {
    this.#deps.ledger.setWaiting(team, this.#demand.has(team));
    this.#deps.publisher.markChanged(team);
  }

  #issueGrants(): void {
    const capacity = this.#limits.slots + this.#limits.grantsAhead;
    while (!this.#paused && this.#running + this.#grants.size < capacity) {
      const team = this.#deps.ledger.leastServed(this.#demand.teams);
      if (team === null) break;
      const router = this.#demand.takeLongestWaiting(team);
      if (router === null) break;
      this.#issueGrant(router, team);
    }
    this.#notifyRefusedRouters();
    this.#recordSlotUse();
  }

  #recordSlotUse(): void {
    const granted = this.#grants.size;
    const paused = this.#paused;
    this.slotTime.record({ running: this.#running, granted, paused });
  }

  #issueGrant(router: GrantReceiver, team: string): void {
    this.#lastGrantId += 1;
    const id = this.#lastGrantId;
    const charge = this.#openCharge(team);
    const timer = setTimeout(() => {
      const grant = this.#grants.get(id);
      if (grant !== undefined) this.#cancelGrant(id, grant);
      this.#issueGrants();
    }, GRANT_TIMEOUT_MS);
    timer.unref();
    this.#grants.set(id, { team, charge, timer });
    this.#updateWaiting(team);
    router.sendGrant(id, team);
  }

  #openCharge(team: string): Charge {
    const { active, ledger, publisher } = this.#deps;
    const charge = new Charge(
      { ledger, publisher, active, estimator: this.#estimator },
      team,
      active.meter(team) ?? DEFAULT_METER,
    );
    charge.open(UNKNOWN_KIND);
    return charge;
  }

  #removeGrant(id: number, { timer }: OutstandingGrant): void {
    clearTimeout(timer);
    this.#grants.delete(id);
  }

  #cancelGrant(id: number, grant: OutstandingGrant): void {
    this.#removeGrant(id, grant);
    grant.charge.cancel();
  }

  #notifyRefusedRouters(): void {
    const free = this.#freeWhenNoneWaiting();
    if (free === 0 || this.#paused) return;
    for (const router of this.#refusedRouters) {
      router.sendAvailability(free, this.#limits.slots);
    }
    this.#refusedRouters.clear();
  }
}
