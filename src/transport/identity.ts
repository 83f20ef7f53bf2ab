/** Identity that a process presents to its peers. */

import type { Role } from "../protocol/mod.ts";

/** Identifies a process and one start of it. */
export interface Identity {
  readonly role: Role;
  readonly instance: string;
  /** Differs after each start of the process. */
  readonly incarnation: string;
  readonly availabilityZone: string;
  /** Service of a side process; empty for a router. */
  readonly service: string;
}
