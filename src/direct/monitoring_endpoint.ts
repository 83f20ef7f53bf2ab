/** HTTP endpoint for readiness probes and metrics. */

import { createServer, type Server } from "node:http";
import { capConnections } from "../common/connection_cap.ts";
import { listen } from "../common/listen.ts";
import type { ListenAddress } from "../transport/mod.ts";

/** Interval of the check for requests that don't end. */
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;

/** Values that the endpoint serves. */
export interface MonitoringSources {
  /** Whether the router is ready for new connections. */
  ready(): boolean;
  /** Metrics in the Prometheus text format. */
  metrics(): string;
}

/** Serves `/ready` and `/metrics`. */
export class MonitoringEndpoint {
  readonly #server: Server;

  constructor(sources: MonitoringSources) {
    const options = { connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS };
    this.#server = createServer(options, (request, response) => {
      switch (request.url) {
        case "/ready":
          response.statusCode = sources.ready() ? 200 : 503;
          response.end();
          return;
        case "/metrics":
          response.setHeader("content-type", "text/plain; version=0.0.4");
          response.end(sources.metrics());
          return;
        default:
          response.statusCode = 404;
          response.end();
      }
    });
    capConnections(this.#server);
  }

  /** Starts listening. Rejects if the address can't be bound. */
  async listen({ host, port }: ListenAddress): Promise<void> {
    await listen(this.#server, { host, port });
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
