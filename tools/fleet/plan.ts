/** What a fleet on loopback consists of. */

import type { Document } from "../../src/configuration/mod.ts";

/** A service with its replicas. */
export interface ServicePlan {
  readonly name: string;
  readonly type: "model" | "plain";
  readonly replicas: number;
  readonly slots: number;
  /** Time of an engine's step, or of a plain service's work. */
  readonly stepMs: number;
  readonly grantsAhead?: number;
}

/** Where links stand that a test can disturb. */
export type LinkPlace = "router" | "side-process" | "backend" | "platform";

/** A whole fleet. */
export interface Plan {
  readonly availabilityZones: readonly string[];
  readonly routers: number;
  readonly services: readonly ServicePlan[];
  readonly teams: readonly TeamKey[];
  readonly document: Document;
  readonly links?: readonly LinkPlace[];
  /** One-way delay on links in front of side processes. */
  readonly delayMs?: number;
  readonly logLevel?: "debug" | "info" | "warn" | "error";
}

/** A team with its key in clear. */
export interface TeamKey {
  readonly name: string;
  readonly key: string;
}
