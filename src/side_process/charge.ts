/** Cost charged to a team for one request, from its grant to its end. */

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

/**
 * Factor on the cost so far when a stream exceeds its charge. Charging ahead
 * keeps the charge from changing with every event.
 */
const EXTENSION_FACTOR = 1.25;

/** Objects in which a charge is recorded. */
export interface ChargeParts {
  readonly ledger: Ledger;
  readonly spread: CounterSpread;
  readonly active: ActiveConfiguration;
  readonly estimator: Estimator;
}

/** How a request ended; a `completed` meter does not charge failed ones. */
export type Ending = "answered" | "failed";

/** Charges an estimate first and replaces it by the actual cost at the end. */
export class Charge {
  readonly #parts: ChargeParts;
  readonly #team: string;
  readonly #meter: Meter;
  #expectation: Expectation;
  /** Cost charged so far, in the meter's units. */
  #cost = 0;
  /** Sum of the changes, each divided by the weight then in force. */
  #normalisedCost = 0;

  constructor(parts: ChargeParts, team: string, meter: Meter) {
    this.#parts = parts;
    this.#team = team;
    this.#meter = meter;
    this.#expectation = { team, kind: "", costHint: 0 };
  }

  /** Charges an estimate before the request is known. */
  open(kind: string): void {
    this.#expectation = { team: this.#team, kind, costHint: 0 };
    this.#parts.ledger.open(this.#team, 0);
    this.#setCost(this.#estimate());
  }

  /** Replaces the estimate once the request's kind and hint are known. */
  refine(request: { readonly kind: string; readonly costHint: number }): void {
    const { kind, costHint } = request;
    this.#expectation = { team: this.#team, kind, costHint };
    this.#setCost(this.#estimate());
  }

  /** Raises the charge if the usage of a running request exceeds it. */
  extend(usage: Usage): void {
    const cost = runningCost(this.#meter, this.#expectation.kind, usage);
    if (cost > this.#cost) this.#setCost(cost * EXTENSION_FACTOR);
  }

  /** Charges the actual cost of an ended request, and returns it. */
  settle(ending: Ending, usage: Usage): number {
    const { kind } = this.#expectation;
    const cost =
      ending === "answered"
        ? runningCost(this.#meter, kind, usage)
        : failedCost(this.#meter, kind, usage);
    if (ending === "answered") {
      this.#parts.estimator.learn(this.#expectation, cost);
    }
    this.#setCost(cost);
    this.#parts.ledger.close(this.#team);
    return cost;
  }

  /** Refunds the whole charge, because the request did not run. */
  cancel(): void {
    this.#setCost(0);
    this.#parts.ledger.close(this.#team);
  }

  #estimate(): number {
    return this.#parts.estimator.estimate(this.#meter, this.#expectation);
  }

  #setCost(cost: number): void {
    const { ledger, spread, active } = this.#parts;
    const weight = active.weight(this.#team);
    const change =
      cost === 0 ? -this.#normalisedCost : (cost - this.#cost) / weight;
    ledger.charge(this.#team, change);
    spread.touch(this.#team);
    this.#cost = cost;
    this.#normalisedCost += change;
  }
}
