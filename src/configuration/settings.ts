/** Settings of one process: a JSON file. */

import { readFile } from "node:fs/promises";
import { err, type Result } from "neverthrow";
import type { Finding } from "../common/finding.ts";
import { Schema } from "../common/schema.ts";
import { JsonText } from "./json_text.ts";

/** An address that a process listens on. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** What every process needs. */
export interface CommonSettings {
  readonly instance: string;
  readonly availabilityZone: string;
  readonly platformUrl: string;
  /** Shared by all processes of the fleet. */
  readonly fleetKey: string;
  /** Opens the operators' endpoints. */
  readonly operatorKey: string;
  readonly admin: Address;
  readonly logLevel?: "debug" | "info" | "warn" | "error";
}

/** Settings of a router. */
export interface RouterSettings extends CommonSettings {
  /** Where callers connect. */
  readonly entry: Address;
  /** Longest wait for requests in progress at a shutdown, milliseconds. */
  readonly shutdownMs?: number;
}

/** The backend server beside a side process. */
export interface BackendServer {
  readonly service: string;
  readonly type: "model" | "plain";
  readonly url: string;
  /** Requests that it runs at a time. */
  readonly slots: number;
  /** Grants given beyond the slots, to hide the round trip. */
  readonly grantsAhead?: number;
}

/** Settings of a side process. */
export interface SideProcessSettings extends CommonSettings {
  /** Where routers and other side processes connect. */
  readonly link: Address;
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
const common = {
  instance: text,
  availabilityZone: text,
  platformUrl: url,
  fleetKey: { type: "string", minLength: 16 },
  operatorKey: { type: "string", minLength: 16 },
  admin: address,
};
const optional = {
  logLevel: { enum: ["debug", "info", "warn", "error"] },
  shutdownMs: { type: "integer", minimum: 0 },
};

/** Schema of a router's settings. */
export const routerSettings = settings<RouterSettings>({ entry: address });

/** Schema of a side process's settings. */
export const sideProcessSettings = settings<SideProcessSettings>({
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

function settings<T>(own: Record<string, object>): Schema<T> {
  const required = { ...common, ...own };
  return new Schema<T>({
    type: "object",
    required: Object.keys(required),
    additionalProperties: false,
    properties: { ...required, ...optional },
  });
}

/** Reads a settings file, or returns every finding. */
export async function load<T>(
  file: string,
  schema: Schema<T>,
): Promise<Result<T, Finding[]>> {
  let content: string;
  try {
    content = await readFile(file, "utf8");
  } catch {
    return err([{ path: "", line: null, message: `Can't read ${file}` }]);
  }
  return JsonText.parse(content).andThen((json) => json.check(schema));
}
