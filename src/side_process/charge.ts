/** What one request is charged, from its grant to its end. */

import type { ActiveConfiguration, Meter } from "../configuration/mod.ts";
import {
  type CounterSpread,
  type Estimator,
  type Expectation,
  failedCost,
  type Ledger,
  runningCost,
  type Usage,
} from "../fairness/mod.ts";

/** A stream that outgrew its charge is charged this much beyond it. */
const GROWTH_FACTOR = 1.25;

/** What a charge is booked in. */
export interface ChargeParts {
  readonly ledger: Ledger;
  readonly spread: CounterSpread;
  readonly active: ActiveConfiguration;
  readonly estimator: Estimator;
}

/** How a request ended, for its cost. */
export type Ending = "answered" | "failed";

/** Charges an estimate first, the cost in the end. */
export class Charge {
  readonly #parts: ChargeParts;
  readonly #team: string;
  readonly #meter: Meter;
  #expectation: Expectation;
  /** Cost charged so far, in the meter's units. */
  #cost = 0;
  /** The same, divided by the weights then in force. */
  #normalised = 0;

  constructor(parts: ChargeParts, team: string, meter: Meter) {
    this.#parts = parts;
    this.#team = team;
    this.#meter = meter;
    this.#expectation = { team, kind: "", costHint: 0 };
  }

  /** Charges an estimate for a request that is not known yet. */
  open(kind: string): void {
    this.#expectation = { team: this.#team, kind, costHint: 0 };
    this.#parts.ledger.open(this.#team, 0);
    this.#moveTo(this.#estimate());
  }

  /** Corrects the estimate once the request is known. */
  expect(request: { readonly kind: string; readonly costHint: number }): void {
    const { kind, costHint } = request;
    this.#expectation = { team: this.#team, kind, costHint };
    this.#moveTo(this.#estimate());
  }

  /** Charges on when a request in progress has outgrown its charge. */
  grow(usage: Usage): void {
    const cost = runningCost(this.#meter, this.#expectation.kind, usage);
    if (cost > this.#cost) this.#moveTo(cost * GROWTH_FACTOR);
  }

  /** Charges what the request cost in the end, and returns it. */
  settle(ending: Ending, usage: Usage): number {
    const { kind } = this.#expectation;
    const cost =
      ending === "answered"
        ? runningCost(this.#meter, kind, usage)
        : failedCost(this.#meter, kind, usage);
    if (ending === "answered") {
      this.#parts.estimator.learn(this.#expectation, cost);
    }
    this.#moveTo(cost);
    this.#parts.ledger.close(this.#team);
    return cost;
  }

  /** Refunds everything: the request did not run. */
  cancel(): void {
    this.#moveTo(0);
    this.#parts.ledger.close(this.#team);
  }

  #estimate(): number {
    return this.#parts.estimator.estimate(this.#meter, this.#expectation);
  }

  #moveTo(cost: number): void {
    const { ledger, spread, active } = this.#parts;
    const weight = active.weight(this.#team);
    const change =
      cost === 0 ? -this.#normalised : (cost - this.#cost) / weight;
    ledger.charge(this.#team, change);
    spread.touch(this.#team);
    this.#cost = cost;
    this.#normalised += change;
  }
}
