/** Settings of a router that sends straight to backend servers. */

import { Schema } from "../common/schema.ts";

/** What one process is told at its start. */
export interface DirectRouterSettings {
  readonly instance: string;
  readonly availabilityZone: string;
  /** Where callers connect, as `host:port`. */
  readonly entry: string;
  /** Where readiness is asked for, as `host:port`. */
  readonly ready: string;
  /** Where metrics are served, as `host:port`; left out for nowhere. */
  readonly metrics?: string;
  /** Where configuration and servers are registered, as `host:port`. */
  readonly registry: string;
  /** Port of the gates, at the addresses of the servers that have one. */
  readonly gatePort: number;
  /** Shared by all processes of the fleet. */
  readonly fleetKey: string;
  /** Seconds from SIGTERM to the end of the process. */
  readonly graceSeconds: number;
  /** Milliseconds in which a key that was taken away must be refused. */
  readonly revocationMs: number;
  /** Milliseconds in which a lost answer of the registry must be noticed. */
  readonly noticeMs: number;
  readonly retries: {
    /** Repeats for each request. */
    readonly ratio: number;
    readonly windowSeconds: number;
    /** Repeats of all routers beyond the ratio. */
    readonly slack: number;
  };
}

const ADDRESS = "^[0-9.]+:[0-9]{1,5}$";
const text = { type: "string", minLength: 1 };
const address = { type: "string", pattern: ADDRESS };
const amount = { type: "number", exclusiveMinimum: 0 };

/** Checks settings; fields that are not known are ignored. */
export const settingsSchema = new Schema<DirectRouterSettings>({
  type: "object",
  required: [
    ...["instance", "availabilityZone", "entry", "ready", "registry"],
    ...["gatePort", "fleetKey", "graceSeconds", "revocationMs", "noticeMs"],
    "retries",
  ],
  properties: {
    instance: text,
    availabilityZone: text,
    entry: address,
    ready: address,
    metrics: address,
    registry: address,
    gatePort: { type: "integer", minimum: 1, maximum: 65_535 },
    fleetKey: { type: "string", minLength: 16 },
    graceSeconds: amount,
    revocationMs: amount,
    noticeMs: amount,
    retries: {
      type: "object",
      required: ["ratio", "windowSeconds", "slack"],
      properties: { ratio: amount, windowSeconds: amount, slack: amount },
    },
  },
});

/** Splits `host:port`. */
export function parseAddress(address: string): {
  readonly host: string;
  readonly port: number;
} {
  const [host = "", port = ""] = address.split(":");
  return { host, port: Number(port) };
}
