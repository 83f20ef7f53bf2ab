/** HTTP endpoints for operators of one process, on a separate port. */

import { timingSafeEqual } from "node:crypto";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { ServiceBroker } from "moleculer";
import ApiGateway from "moleculer-web";
import { capConnections } from "../common/connection_cap.ts";
import type { MetricsRegistry } from "../metrics/mod.ts";

/** Where the endpoints get their answers. */
export interface AdminSources {
  readonly metrics: MetricsRegistry;
  /** Whether the process can serve requests, for `/readyz`. */
  ready(): boolean;
  /** Value that `/status` answers as JSON. */
  status(): object;
  /** Further endpoints that answer with JSON, by path. */
  readonly pages?: Readonly<Record<string, () => object>>;
}

/** Where to listen, and the bearer token that callers must present. */
export interface AdminSettings {
  readonly host: string;
  readonly port: number;
  readonly operatorKey: string;
}

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

/**
 * Creates the Moleculer broker that serves the endpoints. `/healthz` and
 * `/readyz` are open; all others need the operators' key.
 */
export function createBroker(
  settings: AdminSettings,
  sources: AdminSources,
): ServiceBroker {
  const broker = new ServiceBroker({
    logger: false,
    nodeID: "local",
    // The daemon handles signals itself. The broker's handlers would end the
    // process while answers are still being streamed.
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
    started() {
      const { server } = this as unknown as { server: Server };
      capConnections(server);
    },
  });
  return broker;
}

function aliases(
  { operatorKey }: AdminSettings,
  sources: AdminSources,
): Record<string, Handler> {
  const requireOperator = (handler: Handler): Handler => {
    return (request, response) => {
      if (isOperator(request, operatorKey)) handler(request, response);
      else
        sendJson(response, 401, {
          message: "Operator key is missing or wrong",
        });
    };
  };
  const pages = Object.entries(sources.pages ?? {}).map(([path, read]) => [
    `GET ${path}`,
    requireOperator((_request, response) => sendJson(response, 200, read())),
  ]);
  return {
    "GET /healthz": (_request, response) => sendJson(response, 200, {}),
    "GET /readyz": (_request, response) => {
      const ready = sources.ready();
      sendJson(response, ready ? 200 : 503, { ready });
    },
    "GET /metrics": requireOperator((_request, response) => {
      response.setHeader("content-type", "text/plain; version=0.0.4");
      response.end(sources.metrics.text());
    }),
    "GET /status": requireOperator((_request, response) => {
      sendJson(response, 200, sources.status());
    }),
    ...Object.fromEntries(pages),
  };
}

function isOperator(request: IncomingMessage, operatorKey: string): boolean {
  const actual = Buffer.from(request.headers.authorization ?? "");
  const expected = Buffer.from(`Bearer ${operatorKey}`);
  return actual.length === expected.length && timingSafeEqual(actual, expected);
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
