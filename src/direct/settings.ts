/** Settings of a router that sends straight to backend servers. */

import { Schema } from "../common/schema.ts";

/** Settings of one router process. */
export interface DirectRouterSettings {
  readonly instance: string;
  readonly availabilityZone: string;
  /** Address for callers, as `host:port`. */
  readonly entry: string;
  /** Address of the readiness endpoint, as `host:port`. */
  readonly ready: string;
  /** Address of the metrics endpoint, as `host:port`; optional. */
  readonly metrics?: string;
  /** Address of the store of configuration and servers, as `host:port`. */
  readonly registry: string;
  /** Port of the admission controllers ("gates"), on their servers' hosts. */
  readonly gatePort: number;
  /** Secret that all processes of the fleet share. */
  readonly fleetKey: string;
  /** Seconds from SIGTERM to the exit of the process. */
  readonly graceSeconds: number;
  /** Milliseconds within which a revoked API key must be refused. */
  readonly revocationMs: number;
  /** Milliseconds within which a change of the configuration is in force. */
  readonly configurationMs: number;
  /** Milliseconds within which a lost response of the store is noticed. */
  readonly noticeMs: number;
  /**
   * Milliseconds within which an emptied zone gets no more requests; without it,
   * operators empty no zones.
   */
  readonly evacuationMs?: number;
  /** Region of each availability zone. */
  readonly zoneRegions?: Readonly<Record<string, string>>;
  /** Memory of the machine for this process, in MB. */
  readonly memoryMb?: number;
  /** File descriptors that the process may have open. */
  readonly descriptors?: number;
  readonly retries: {
    /** Retries per request. */
    readonly ratio: number;
    /** Window in which requests and retries are counted. */
    readonly windowSeconds: number;
    /** Retries beyond the ratio, shared by all routers. */
    readonly slack: number;
  };
}

const ADDRESS_PATTERN = "^[0-9.]+:[0-9]{1,5}$";
const text = { type: "string", minLength: 1 };
const address = { type: "string", pattern: ADDRESS_PATTERN };
const amount = { type: "number", exclusiveMinimum: 0 };

/** Schema of the settings; unknown fields are ignored. */
export const settingsSchema = new Schema<DirectRouterSettings>({
  type: "object",
  required: [
    ...["instance", "availabilityZone", "entry", "ready", "registry"],
    ...["gatePort", "fleetKey", "graceSeconds", "revocationMs", "noticeMs"],
    ...["configurationMs", "retries"],
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
    configurationMs: amount,
    noticeMs: amount,
    evacuationMs: amount,
    zoneRegions: { type: "object", additionalProperties: text },
    memoryMb: amount,
    descriptors: amount,
    retries: {
      type: "object",
      required: ["ratio", "windowSeconds", "slack"],
      properties: { ratio: amount, windowSeconds: amount, slack: amount },
    },
  },
});

/** Splits `host:port`, whose form the schema has checked. */
export function parseAddress(address: string): {
  readonly host: string;
  readonly port: number;
} {
  const [host = "", port = ""] = address.split(":");
  return { host, port: Number(port) };
}
