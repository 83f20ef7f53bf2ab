/** A request that waits for a server. */

import type { Demand } from "./demand.ts";

/** How far a waiting request has come. */
export type PendingState =
  /** In this router's own queue. */
  | { readonly type: "queued" }
  /** Waits for a server's admission controller; `withdraw` takes it back. */
  | {
      readonly type: "awaiting-permit";
      readonly server: string;
      readonly sinceMs: number;
      readonly withdraw: () => void;
    }
  | { readonly type: "settled" };

/** A request from its arrival until it is placed, refused or abandoned. */
export class PendingRequest<D> {
  readonly demand: Demand;
  /** Monotonic time after which it is refused. */
  readonly refuseAtMs: number;
  readonly #settle: (decision: D) => void;
  state: PendingState = { type: "queued" };

  constructor(
    demand: Demand,
    holdUntilMs: number,
    { settle }: { readonly settle: (decision: D) => void },
  ) {
    this.demand = demand;
    this.refuseAtMs = holdUntilMs;
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
