/** A caller's request after it has been read and the rules admitted it. */

import type { Deadline } from "../common/deadline.ts";
import type { Service } from "../configuration/mod.ts";
import type { Header } from "../protocol/mod.ts";

/** A request with everything the router needs to serve it. */
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
  /** The caller's estimate in cost units; 0 when it gave none. */
  readonly costHint: number;
  /** Requests of higher priority go first within their team. */
  readonly priority: number;
  /** Limit of the team's queued requests of a service at this router. */
  readonly maxWaiting: number;
  /** Limit of the team's requests of a service in progress at this router. */
  readonly maxInProgress: number;
  readonly deadline: Deadline;
  /** Monotonic time of arrival. */
  readonly arrivedMs: number;
}
