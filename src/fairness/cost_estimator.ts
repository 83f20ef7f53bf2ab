/** Cost estimates, learned per team and kind of request. */

import type { Meter } from "../configuration/mod.ts";

/** Weight of the newest sample in a moving average. */
const LEARNING_RATE = 0.2;
/** Averages that are kept; the least recently updated is evicted first. */
const MAX_MEANS = 20_000;
/** Estimate before any request has ended, in cost units. */
const INITIAL_ESTIMATE = 200;

/** Properties of a request from which its cost is estimated. */
export interface CostFactors {
  readonly team: string;
  readonly kind: string;
  /** The caller's estimate in cost units; 0 when it gave none. */
  readonly costHint: number;
}

/** Learns mean costs, and the ratio of cost to hint of each team. */
export class CostEstimator {
  readonly #means = new Map<string, number>();
  #overallMean: number | null = null;

  /** Moving average of the cost of requests that ended at this process. */
  get meanCost(): number {
    return this.#overallMean ?? INITIAL_ESTIMATE;
  }

  /** Returns the estimated cost of a request, in the meter's cost units. */
  estimate(meter: Meter, { team, kind, costHint }: CostFactors): number {
    if (meter.type === "completed") {
      return meter.weightByKind[kind] ?? meter.defaultWeight;
    }
    const learned =
      this.#means.get(`${team}\n${kind}`) ??
      this.#means.get(team) ??
      this.#overallMean;
    if (costHint === 0) return learned ?? INITIAL_ESTIMATE;
    const hinted =
      costHint * Math.exp(this.#means.get(hintCorrectionKey(team)) ?? 0);
    // Hints are imprecise, so the geometric mean with the learned cost is used.
    return learned === null ? hinted : Math.sqrt(hinted * learned);
  }

  /** Updates the averages with the cost of a request that ended. */
  learn({ team, kind, costHint }: CostFactors, cost: number): void {
    this.#overallMean = updateMean(this.#overallMean, cost);
    this.#learn(`${team}\n${kind}`, cost);
    this.#learn(team, cost);
    if (costHint > 0 && cost > 0) {
      this.#learn(hintCorrectionKey(team), Math.log(cost / costHint));
    }
  }

  #learn(key: string, sample: number): void {
    const mean = updateMean(this.#means.get(key) ?? null, sample);
    this.#means.delete(key);
    this.#means.set(key, mean);
    if (this.#means.size <= MAX_MEANS) return;
    const oldest = this.#means.keys().next();
    if (oldest.done !== true) this.#means.delete(oldest.value);
  }
}

/** Key of the mean of log(cost / hint) of a team. */
function hintCorrectionKey(team: string): string {
  return `hint\n${team}`;
}

function updateMean(mean: number | null, sample: number): number {
  return mean === null ? sample : mean + LEARNING_RATE * (sample - mean);
}
