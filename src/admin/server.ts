/** Operators' endpoints of one process, on a port of their own. */

import { timingSafeEqual } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { ServiceBroker } from "moleculer";
import ApiGateway from "moleculer-web";
import type { Registry } from "../metrics/mod.ts";

/** What the endpoints show. */
export interface AdminSources {
  readonly metrics: Registry;
  /** Whether the process can do its work. */
  ready(): boolean;
  /** A JSON value for `/status`. */
  status(): object;
  /** More JSON endpoints, by path. */
  readonly pages?: Readonly<Record<string, () => object>>;
}

/** Where to listen, and the key that opens the endpoints. */
export interface AdminSettings {
  readonly host: string;
  readonly port: number;
  readonly operatorKey: string;
}

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

/** Creates the local service container of a process, with these endpoints. */
export function createBroker(
  settings: AdminSettings,
  sources: AdminSources,
): ServiceBroker {
  const broker = new ServiceBroker({
    logger: false,
    nodeID: "local",
    // The daemon handles signals; the broker would exit in mid-stream.
    skipProcessEventRegistration: true,
  });
  broker.createService({
    name: "admin",
    mixins: [ApiGateway],
    settings: {
      ip: settings.host,
      port: settings.port,
      routes: [{ path: "/", aliases: aliases(settings, sources) }],
    },
  });
  return broker;
}

function aliases(
  { operatorKey }: AdminSettings,
  sources: AdminSources,
): Record<string, Handler> {
  const guarded = (handler: Handler): Handler => {
    return (request, response) => {
      if (isOperator(request, operatorKey)) handler(request, response);
      else sendJson(response, 401, { message: "Operator key is missing" });
    };
  };
  const pages = Object.entries(sources.pages ?? {}).map(([path, read]) => [
    `GET ${path}`,
    guarded((_request, response) => sendJson(response, 200, read())),
  ]);
  return {
    "GET /healthz": (_request, response) => sendJson(response, 200, {}),
    "GET /readyz": (_request, response) => {
      const ready = sources.ready();
      sendJson(response, ready ? 200 : 503, { ready });
    },
    "GET /metrics": guarded((_request, response) => {
      response.setHeader("content-type", "text/plain; version=0.0.4");
      response.end(sources.metrics.text());
    }),
    "GET /status": guarded((_request, response) => {
      sendJson(response, 200, sources.status());
    }),
    ...Object.fromEntries(pages),
  };
}

function isOperator(request: IncomingMessage, operatorKey: string): boolean {
  const shown = Buffer.from(request.headers.authorization ?? "");
  const expected = Buffer.from(`Bearer ${operatorKey}`);
  return shown.length === expected.length && timingSafeEqual(shown, expected);
}

function sendJson(
  response: ServerResponse,
  status: number,
  value: object,
): void {
  response.statusCode = status;
  response.setHeader("content-type", "application/json");
  response.end(JSON.stringify(value));
}
