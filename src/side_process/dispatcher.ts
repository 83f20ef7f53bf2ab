/** Gives the backend server's slots to teams, the least served first. */

import type { Clock } from "../common/clock.ts";
import type { ActiveConfiguration, Meter } from "../configuration/mod.ts";
import { type CounterSpread, Estimator, type Ledger } from "../fairness/mod.ts";
import type { GrantUnused, Run, TeamDemand } from "../protocol/mod.ts";
import { Charge } from "./charge.ts";
import { DemandBook } from "./demand_book.ts";
import { SlotClock } from "./slot_clock.ts";

/** How long a router may take to answer a grant. */
const GRANT_TIMEOUT_MS = 1_000;
/** Kind under which a grant is estimated; the request is not known yet. */
const ANY_KIND = "";
const DEFAULT_METER: Meter = {
  type: "tokens",
  promptWeight: 1,
  generatedWeight: 1,
};

/** A router as the dispatcher sees it. */
export interface GrantReceiver {
  sendGrant(grant: number, team: string): void;
  sendAvailability(free: number, slots: number): void;
}

interface OutstandingGrant {
  readonly team: string;
  readonly charge: Charge;
  readonly timer: NodeJS.Timeout;
}

/** Whether a run may take a slot. */
export type Admission =
  | { readonly type: "admitted"; readonly charge: Charge }
  | { readonly type: "busy" };

/** What the dispatcher shares with the rest of the process. */
export interface DispatcherParts {
  readonly clock: Clock;
  readonly active: ActiveConfiguration;
  readonly ledger: Ledger;
  readonly spread: CounterSpread;
}

/** Limits of the backend server. */
export interface SlotLimits {
  readonly slots: number;
  /** Requests handed to the server beyond its slots. */
  readonly ahead: number;
}

/** Authority over who runs next. */
export class Dispatcher {
  readonly #parts: DispatcherParts;
  readonly #limits: SlotLimits;
  readonly #demand: DemandBook<GrantReceiver>;
  readonly #estimator = new Estimator();
  readonly #grants = new Map<number, OutstandingGrant>();
  /** How slot time was spent. */
  readonly slotClock: SlotClock;
  /** Routers that were told "busy" and wait to hear of free slots. */
  readonly #toldBusy = new Set<GrantReceiver>();
  #lastGrant = 0;
  #running = 0;
  #paused = false;

  constructor(parts: DispatcherParts, limits: SlotLimits) {
    this.#parts = parts;
    this.#limits = limits;
    this.#demand = new DemandBook(parts.clock);
    this.slotClock = new SlotClock(parts.clock, limits.slots);
  }

  /** Requests that hold a slot. */
  get running(): number {
    return this.#running;
  }

  /** Grants that no router has answered yet. */
  get outstanding(): number {
    return this.#grants.size;
  }

  /** Slots that are neither in use nor granted. */
  get free(): number {
    return Math.max(0, this.#limits.slots - this.#running - this.#grants.size);
  }

  /** Mean normalised cost of a request, for the quantum of the spread. */
  get meanCost(): number {
    return this.#estimator.meanCost;
  }

  /** Stops or resumes new starts, as while the server is down or leaving. */
  setPaused(paused: boolean): void {
    this.#paused = paused;
    if (!paused) this.#fill();
    this.#noteSlots();
  }

  /** Tells a router that has connected how much is free. */
  welcome(router: GrantReceiver): void {
    if (this.#paused) return;
    router.sendAvailability(this.#freeWithoutBacklog(), this.#limits.slots);
  }

  /** Takes what has changed in a router's demand. */
  setDemand(router: GrantReceiver, teams: readonly TeamDemand[]): void {
    for (const [team, count, ageMs] of teams) {
      this.#demand.set(router, team, { count, ageMs });
      this.#noteWaiting(team);
    }
    this.#fill();
  }

  /** Forgets a router that has gone. */
  drop(router: GrantReceiver): void {
    this.#toldBusy.delete(router);
    for (const team of this.#demand.drop(router)) this.#noteWaiting(team);
  }

  /** Decides whether a run may start now. */
  admit(router: GrantReceiver, run: Run): Admission {
    const grant = this.#grants.get(run.grant);
    if (grant !== undefined) {
      this.#removeGrant(run.grant, grant);
      grant.charge.expect(run);
      this.#noteDemand(router, run.team, run.waiting);
      this.#running += 1;
      this.#noteSlots();
      return { type: "admitted", charge: grant.charge };
    }
    if (this.#paused || this.#freeWithoutBacklog() === 0) {
      this.#toldBusy.add(router);
      return { type: "busy" };
    }
    this.#parts.ledger.setWaiting(run.team, true);
    this.#parts.ledger.advance(run.team);
    const charge = this.#charge(run.team);
    charge.expect(run);
    this.#noteWaiting(run.team);
    this.#running += 1;
    this.#noteSlots();
    return { type: "admitted", charge };
  }

  /** Takes back a grant that a router could not use. */
  returnGrant(router: GrantReceiver, unused: GrantUnused): void {
    const grant = this.#grants.get(unused.grant);
    if (grant !== undefined) this.#cancelGrant(unused.grant, grant);
    this.#noteDemand(router, unused.team, unused.waiting);
    this.#fill();
  }

  /** Frees the slot of a run that has ended. */
  release(): void {
    this.#running -= 1;
    this.#fill();
  }

  #freeWithoutBacklog(): number {
    return this.#demand.empty ? this.free : 0;
  }

  #noteDemand(router: GrantReceiver, team: string, count: number): void {
    this.#demand.set(router, team, { count, ageMs: 0 });
    this.#noteWaiting(team);
  }

  #noteWaiting(team: string): void {
    this.#parts.ledger.setWaiting(team, this.#demand.has(team));
    this.#parts.spread.touch(team);
  }

  #fill(): void {
    const capacity = this.#limits.slots + this.#limits.ahead;
    while (!this.#paused && this.#running + this.#grants.size < capacity) {
      const team = this.#parts.ledger.leastServed(this.#demand.teams);
      if (team === null) break;
      const router = this.#demand.take(team);
      if (router === null) break;
      this.#grant(router, team);
    }
    this.#announceFree();
    this.#noteSlots();
  }

  #noteSlots(): void {
    const granted = this.#grants.size;
    const paused = this.#paused;
    this.slotClock.note({ running: this.#running, granted, paused });
  }

  #grant(router: GrantReceiver, team: string): void {
    this.#lastGrant += 1;
    const id = this.#lastGrant;
    const charge = this.#charge(team);
    const timer = setTimeout(() => {
      const grant = this.#grants.get(id);
      if (grant !== undefined) this.#cancelGrant(id, grant);
      this.#fill();
    }, GRANT_TIMEOUT_MS);
    timer.unref();
    this.#grants.set(id, { team, charge, timer });
    this.#noteWaiting(team);
    router.sendGrant(id, team);
  }

  #charge(team: string): Charge {
    const { active, ledger, spread } = this.#parts;
    const charge = new Charge(
      { ledger, spread, active, estimator: this.#estimator },
      team,
      active.meter(team) ?? DEFAULT_METER,
    );
    charge.open(ANY_KIND);
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

  #announceFree(): void {
    const free = this.#freeWithoutBacklog();
    if (free === 0 || this.#paused) return;
    for (const router of this.#toldBusy) {
      router.sendAvailability(free, this.#limits.slots);
    }
    this.#toldBusy.clear();
  }
}
