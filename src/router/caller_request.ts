/** A caller's request once it is understood. */

import type { Deadline } from "../common/deadline.ts";
import type { Service } from "../configuration/mod.ts";
import type { Header } from "../protocol/mod.ts";

/** What the router knows of a request. */
export interface CallerRequest {
  /** Unique in the fleet; shown to the caller. */
  readonly id: string;
  /** Unique at this incarnation of the router. */
  readonly number: number;
  readonly team: string;
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
  /** Requests of the team that may be bound by this router. */
  readonly maxInProgress: number;
  readonly deadline: Deadline;
  readonly arrivedMs: number;
}
