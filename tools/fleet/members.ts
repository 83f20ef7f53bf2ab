/** The processes that make up a fleet. */

import type { Instance } from "../../src/platform/mod.ts";
import type { Child } from "./child.ts";
import type { FaultProxy } from "./fault_proxy.ts";

/** A stand-in for a backend server. */
export interface Backend {
  readonly service: string;
  readonly url: string;
  readonly proxy: FaultProxy | null;
  /** File of its run log. */
  readonly logFile: string;
  child: Child;
  /** Kills the process if it still runs and starts a new one. */
  restart(): Promise<void>;
}

/** A router or side process. */
export interface Member {
  readonly instance: Instance;
  /** URL for callers of a router; empty for a side process. */
  readonly url: string;
  readonly adminUrl: string;
  readonly proxy: FaultProxy | null;
  child: Child;
  /** Starts a new process with the same settings and no state. */
  restart(): void;
}

/** A side process with the backend server that it serves. */
export interface SideProcessMember extends Member {
  readonly backend: Backend;
}
