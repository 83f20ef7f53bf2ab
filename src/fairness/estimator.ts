/** Estimates of cost, learned per team and kind. */

import type { Meter } from "../configuration/mod.ts";

/** Weight of the newest cost in a learned mean. */
const LEARNING_RATE = 0.2;
/** Means kept; the least recently learned goes first. */
const MEANS_LIMIT = 20_000;
/** Estimate before any request has ended. */
const FIRST_ESTIMATE = 200;

/** What is known of a request before it runs. */
export interface Expectation {
  readonly team: string;
  readonly kind: string;
  /** The caller's estimate; 0 when it gave none. */
  readonly costHint: number;
}

/** Learns mean costs, and how far each team's hints are off. */
export class Estimator {
  readonly #means = new Map<string, number>();
  #overall: number | null = null;

  /** Mean cost of all requests that ended here. */
  get meanCost(): number {
    return this.#overall ?? FIRST_ESTIMATE;
  }

  /** Returns the estimated cost of a request. */
  estimate(meter: Meter, { team, kind, costHint }: Expectation): number {
    if (meter.type === "completed") {
      return meter.weightByKind[kind] ?? meter.defaultWeight;
    }
    const learned =
      this.#means.get(`${team}\n${kind}`) ??
      this.#means.get(team) ??
      this.#overall;
    if (costHint === 0) return learned ?? FIRST_ESTIMATE;
    const hinted = costHint * Math.exp(this.#means.get(hintKey(team)) ?? 0);
    // A rough hint is tempered by what such requests have cost.
    return learned === null ? hinted : Math.sqrt(hinted * learned);
  }

  /** Learns from a request that ended. */
  learn({ team, kind, costHint }: Expectation, cost: number): void {
    this.#overall = blend(this.#overall, cost);
    this.#learn(`${team}\n${kind}`, cost);
    this.#learn(team, cost);
    if (costHint > 0 && cost > 0) {
      this.#learn(hintKey(team), Math.log(cost / costHint));
    }
  }

  #learn(key: string, sample: number): void {
    const mean = blend(this.#means.get(key) ?? null, sample);
    this.#means.delete(key);
    this.#means.set(key, mean);
    if (this.#means.size <= MEANS_LIMIT) return;
    const oldest = this.#means.keys().next();
    if (oldest.done !== true) this.#means.delete(oldest.value);
  }
}

/** Under this, the mean logarithm of cost by hint is kept. */
function hintKey(team: string): string {
  return `hint\n${team}`;
}

function blend(mean: number | null, sample: number): number {
  return mean === null ? sample : mean + LEARNING_RATE * (sample - mean);
}
