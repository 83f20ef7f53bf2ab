/** Settings of the admission controller of one engine. */

import { Schema } from "../common/schema.ts";
import type { ColdBounds } from "./cold_guard.ts";

/** Settings that the process reads at its start. */
export interface AdmissionSettings {
  readonly instance: string;
  readonly availabilityZone: string;
  readonly service: string;
  /** The engine that the process admits to, as `host:port`. */
  readonly engine: string;
  /** Where routers connect. */
  readonly listen: { readonly host: string; readonly port: number };
  /** Shared by all processes of the fleet. */
  readonly fleetKey: string;
  /** Absent where no bound holds for servers that are cold. */
  readonly coldStart?: ColdBounds;
}

const text = { type: "string", minLength: 1 };

/** Schema of the settings; unknown fields are ignored. */
export const admissionSettingsSchema = new Schema<AdmissionSettings>({
  type: "object",
  required: [
    ...["instance", "availabilityZone", "service", "engine"],
    ...["listen", "fleetKey"],
  ],
  properties: {
    instance: text,
    availabilityZone: text,
    service: text,
    engine: text,
    fleetKey: { type: "string", minLength: 16 },
    coldStart: {
      type: "object",
      required: ["overshoot", "slack"],
      properties: {
        overshoot: { type: "number", minimum: 0 },
        slack: { type: "number", minimum: 0 },
      },
    },
    listen: {
      type: "object",
      required: ["host", "port"],
      properties: {
        host: text,
        port: { type: "integer", minimum: 0, maximum: 65_535 },
      },
    },
  },
});
