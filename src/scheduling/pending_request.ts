/** A request that waits for a server. */

import type { Demand } from "./demand.ts";

/** How far a waiting request has come. */
export type PendingState =
  /** In this router's own queue. */
  | { readonly type: "queued" }
  /** Waits for a permit to `server`; `withdraw` ends the permit request. */
  | {
      readonly type: "awaiting-permit";
      readonly server: string;
      readonly sinceMs: number;
      readonly withdraw: () => void;
    }
  | { readonly type: "settled" };

/** A request until it is placed or refused, or until its caller leaves. */
export class PendingRequest<D> {
  readonly demand: Demand;
  /** Monotonic time after which it is refused. */
  readonly refuseAtMs: number;
  readonly #settle: (decision: D) => void;
  state: PendingState = { type: "queued" };

  constructor(
    demand: Demand,
    refuseAtMs: number,
    { settle }: { readonly settle: (decision: D) => void },
  ) {
    this.demand = demand;
    this.refuseAtMs = refuseAtMs;
    this.#settle = settle;
  }

  /** Ends the wait with a decision; later decisions are ignored. */
  settle(decision: D): void {
    if (this.state.type === "settled") return;
    if (this.state.type === "awaiting-permit") this.state.withdraw();
    this.state = { type: "settled" };
    this.#settle(decision);
  }
}
