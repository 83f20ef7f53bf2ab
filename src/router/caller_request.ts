/** A caller's request once it is understood. */

import type { Deadline } from "../common/deadline.ts";
import type { Contract, Service } from "../configuration/mod.ts";
import type { Header } from "../protocol/mod.ts";

/** What the router knows of a request. */
export interface CallerRequest {
  readonly id: string;
  readonly team: string;
  readonly contract: Contract;
  readonly service: Service;
  readonly kind: string;
  readonly method: string;
  /** Path and query at the backend server. */
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Buffer;
  readonly idempotent: boolean;
  /** Empty when the caller gave none. */
  readonly idempotencyKey: string;
  /** The caller's estimate of cost; 0 when it gave none. */
  readonly costHint: number;
  /** Higher goes first within the team. */
  readonly priority: number;
  /** Requests of the team that may wait at this router. */
  readonly maxWaiting: number;
  readonly deadline: Deadline;
  readonly arrivedMs: number;
}
