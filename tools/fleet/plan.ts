/** Plan of a fleet on loopback: its processes, services and teams. */

import type { Document } from "../../src/configuration/mod.ts";

/** A service and the number and size of its replicas. */
export interface ServicePlan {
  readonly name: string;
  readonly type: "model" | "plain";
  readonly replicas: number;
  readonly slots: number;
  /** Duration of an engine's step, or of a plain service's request. */
  readonly stepMs: number;
  readonly grantsAhead?: number;
}

/** In front of which processes fault proxies are placed. */
export type ProxyPlace = "router" | "side-process" | "backend" | "platform";

/** Everything that `Fleet.start` needs. */
export interface Plan {
  readonly availabilityZones: readonly string[];
  readonly routers: number;
  readonly services: readonly ServicePlan[];
  readonly teams: readonly TeamKey[];
  readonly document: Document;
  readonly proxies?: readonly ProxyPlace[];
  /** One-way delay of the proxies in front of side processes. */
  readonly delayMs?: number;
  readonly logLevel?: "debug" | "info" | "warn" | "error";
}

/** A team with its API key in clear text. */
export interface TeamKey {
  readonly name: string;
  readonly key: string;
}
