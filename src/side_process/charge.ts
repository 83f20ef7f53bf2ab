/** Cost charged to a team for one request, from its grant to its end. */

import type { ActiveConfiguration, Meter } from "../configuration/mod.ts";
import {
  type CostEstimator,
  type CostFactors,
  failedCost,
  type Ledger,
  type UpdatePublisher,
  type Usage,
  usageCost,
} from "../fairness/mod.ts";

/**
 * Factor on the cost so far when a stream exceeds its charge. Charging ahead
 * keeps the charge from changing with every event.
 */
const EXTENSION_FACTOR = 1.25;

/** Dependencies of a charge: the objects in which it is recorded. */
export interface ChargeDependencies {
  readonly ledger: Ledger;
  readonly publisher: UpdatePublisher;
  readonly active: ActiveConfiguration;
  readonly estimator: CostEstimator;
}

/** How a request ended; a `completed` meter does not charge failed ones. */
export type Ending = "answered" | "failed";

/** Charges an estimate first and replaces it by the actual cost at the end. */
export class Charge {
  readonly #deps: ChargeDependencies;
  readonly #team: string;
  readonly #meter: Meter;
  #expectation: CostFactors;
  /** Cost charged so far, in the meter's units. */
  #cost = 0;
  /** Sum of the changes, each divided by the weight then in force. */
  #normalisedCost = 0;

  constructor(deps: ChargeDependencies, team: string, meter: Meter) {
    this.#deps = deps;
    this.#team = team;
    this.#meter = meter;
    this.#expectation = { team, kind: "", costHint: 0 };
  }

  /** Charges an estimate before the request is known. */
  open(kind: string): void {
    this.#expectation = { team: this.#team, kind, costHint: 0 };
    this.#deps.ledger.beginRequest(this.#team, 0);
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
    const cost = usageCost(this.#meter, this.#expectation.kind, usage);
    if (cost > this.#cost) this.#setCost(cost * EXTENSION_FACTOR);
  }

  /** Charges the actual cost of an ended request, and returns it. */
  settle(ending: Ending, usage: Usage): number {
    const { kind } = this.#expectation;
    const cost =
      ending === "answered"
        ? usageCost(this.#meter, kind, usage)
        : failedCost(this.#meter, kind, usage);
    if (ending === "answered") {
      this.#deps.estimator.learn(this.#expectation, cost);
    }
    this.#setCost(cost);
    this.#deps.ledger.endRequest(this.#team);
    return cost;
  }

  /** Refunds the whole charge, because the request did not run. */
  cancel(): void {
    this.#setCost(0);
    this.#deps.ledger.endRequest(this.#team);
  }

  #estimate(): number {
    return this.#deps.estimator.estimate(this.#meter, this.#expectation);
  }

  #setCost(cost: number): void {
    const { ledger, publisher, active } = this.#deps;
    const weight = active.weight(this.#team);
    const change =
      cost === 0 ? -this.#normalisedCost : (cost - this.#cost) / weight;
    ledger.charge(this.#team, change);
    publisher.markChanged(this.#team);
    this.#cost = cost;
    this.#normalisedCost += change;
  }
}
