/** Processes of a fleet. */

import type { Instance } from "../../src/platform/mod.ts";
import type { Child } from "./child.ts";
import type { Link } from "./link.ts";

/** A stand-in of a backend server. */
export interface Backend {
  readonly service: string;
  readonly url: string;
  readonly link: Link | null;
  /** Where its run log is kept. */
  readonly logFile: string;
  child: Child;
  /** Starts it again after its end. */
  restart(): Promise<void>;
}

/** A process of the product. */
export interface Member {
  readonly instance: Instance;
  /** Where it is reached: callers' URL of a router, else empty. */
  readonly url: string;
  readonly adminUrl: string;
  readonly link: Link | null;
  child: Child;
  /** Starts it again, with no memory. */
  restart(): void;
}

/** A side process with the backend server beside it. */
export interface SideMember extends Member {
  readonly backend: Backend;
}
