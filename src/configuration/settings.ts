/** Settings of one process, read from a JSON file at its start. */

import { readFile } from "node:fs/promises";
import { err, type Result } from "neverthrow";
import type { Finding } from "../common/finding.ts";
import { Schema } from "../common/schema.ts";
import { JsonText } from "./json_text.ts";

/** An address that a process listens on. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Settings that all processes have. */
export interface CommonSettings {
  readonly instance: string;
  readonly availabilityZone: string;
  readonly platformUrl: string;
  /** Secret with which the processes of a fleet authenticate each other. */
  readonly fleetKey: string;
  /** Bearer token of the operators' endpoints. */
  readonly operatorKey: string;
  /** Where the operators' endpoints listen. */
  readonly admin: ListenAddress;
  readonly logLevel?: "debug" | "info" | "warn" | "error";
}

/** Settings of a router. */
export interface RouterSettings extends CommonSettings {
  /** Where callers connect. */
  readonly entry: ListenAddress;
  /** Longest wait for requests in progress at shutdown, in milliseconds. */
  readonly shutdownMs?: number;
}

/** The backend server that a side process serves. */
export interface BackendServer {
  readonly service: string;
  readonly type: "model" | "plain";
  readonly url: string;
  /** Requests that it runs concurrently. */
  readonly slots: number;
  /** Grants issued beyond the slots, to hide the round trip to routers. */
  readonly grantsAhead?: number;
}

/** Settings of a side process. */
export interface SideProcessSettings extends CommonSettings {
  /** Where routers and other side processes connect. */
  readonly link: ListenAddress;
  readonly backendServer: BackendServer;
  readonly shutdownMs?: number;
}

const text = { type: "string", minLength: 1 };
const url = { type: "string", pattern: "^https?://" };
const address = {
  type: "object",
  required: ["host", "port"],
  additionalProperties: false,
  properties: {
    host: text,
    port: { type: "integer", minimum: 0, maximum: 65_535 },
  },
};
const commonFields = {
  instance: text,
  availabilityZone: text,
  platformUrl: url,
  fleetKey: { type: "string", minLength: 16 },
  operatorKey: { type: "string", minLength: 16 },
  admin: address,
};
const optionalFields = {
  logLevel: { enum: ["debug", "info", "warn", "error"] },
  shutdownMs: { type: "integer", minimum: 0 },
};

/** Schema of a router's settings. */
export const routerSettingsSchema = createSettingsSchema<RouterSettings>({
  entry: address,
});

/** Schema of a side process's settings. */
export const sideProcessSettingsSchema =
  createSettingsSchema<SideProcessSettings>({
    link: address,
    backendServer: {
      type: "object",
      required: ["service", "type", "url", "slots"],
      additionalProperties: false,
      properties: {
        service: text,
        type: { enum: ["model", "plain"] },
        url,
        slots: { type: "integer", minimum: 1 },
        grantsAhead: { type: "integer", minimum: 0, maximum: 64 },
      },
    },
  });

function createSettingsSchema<T>(
  roleFields: Record<string, object>,
): Schema<T> {
  const required = { ...commonFields, ...roleFields };
  return new Schema<T>({
    type: "object",
    required: Object.keys(required),
    additionalProperties: false,
    properties: { ...required, ...optionalFields },
  });
}

/** Reads a settings file, or returns all findings. */
export async function loadSettings<T>(
  file: string,
  schema: Schema<T>,
): Promise<Result<T, Finding[]>> {
  let content: string;
  try {
    content = await readFile(file, "utf8");
  } catch {
    return err([
      { path: "", line: null, message: `Can't read settings file ${file}` },
    ]);
  }
  return JsonText.parse(content).andThen((json) => json.check(schema));
}
