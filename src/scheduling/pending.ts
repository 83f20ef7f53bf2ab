/** A request that waits for its place. */

import type { Demand } from "./demand.ts";

/** Where a request stands while it waits. */
export type Stand =
  /** In this router's own line. */
  | { readonly type: "line" }
  /** Asked at the authority over a server, and how to take that back. */
  | {
      readonly type: "asked";
      readonly server: string;
      readonly sinceMs: number;
      readonly withdraw: () => void;
    }
  | { readonly type: "settled" };

/** One request, from its arrival to its place or refusal. */
export class Pending<D> {
  readonly demand: Demand;
  /** Monotonic time after which it is refused. */
  readonly holdUntilMs: number;
  readonly #settle: (decision: D) => void;
  stand: Stand = { type: "line" };

  constructor(
    demand: Demand,
    holdUntilMs: number,
    { settle }: { readonly settle: (decision: D) => void },
  ) {
    this.demand = demand;
    this.holdUntilMs = holdUntilMs;
    this.#settle = settle;
  }

  /** Ends the wait; later decisions are ignored. */
  settle(decision: D): void {
    if (this.stand.type === "settled") return;
    if (this.stand.type === "asked") this.stand.withdraw();
    this.stand = { type: "settled" };
    this.#settle(decision);
  }
}
