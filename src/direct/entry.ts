/** Where callers connect. */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { listen } from "../common/listen.ts";
import type { CallerLimits } from "../routing/mod.ts";
import type { ListenAddress } from "../transport/mod.ts";
import { Exchange, type ExchangeParts } from "./exchange.ts";

/** Headers beyond any configured limit; the parser itself refuses them. */
const PARSER_HEADER_LIMIT_BYTES = 64 * 1024;
/**
 * Connections that wait to be accepted. A caller waits a second for one, and a
 * small machine takes some hundred in that time: whoever stands further back
 * has left before its turn, and would only delay those who come after it.
 */
const BACKLOG = 128;
/** Time between two looks for callers that send headers too slowly. */
const TIMEOUT_CHECK_MS = 1_000;

/** How far the end of the process has come. */
type Stage = "open" | "turning-away" | "closed";

/** Serves callers over HTTP. */
export class Entry {
  readonly #parts: ExchangeParts;
  readonly #server: Server;
  readonly #open = new Set<Exchange>();
  #stage: Stage = "open";

  constructor(parts: ExchangeParts) {
    this.#parts = parts;
    const options = {
      maxHeaderSize: PARSER_HEADER_LIMIT_BYTES,
      connectionsCheckingInterval: TIMEOUT_CHECK_MS,
      noDelay: true,
    };
    this.#server = createServer(options, (request, response) => {
      void this.#serve(request, response);
    });
  }

  /** Number of requests in progress. */
  get open(): number {
    return this.#open.size;
  }

  /** Starts listening. Rejects when the address can't be bound. */
  async listen({ host, port }: ListenAddress): Promise<void> {
    await listen(this.#server, { host, port, backlog: BACKLOG });
  }

  /** Takes the bounds on what callers send. */
  setLimits({ headerTimeoutMs, idleTimeoutMs }: CallerLimits): void {
    this.#server.headersTimeout = headerTimeoutMs;
    this.#server.keepAliveTimeout = idleTimeoutMs;
  }

  /** Asks every caller to open its next connection elsewhere. */
  turnAway(): void {
    this.#stage = "turning-away";
    for (const exchange of this.#open) exchange.answer.closeAfter();
  }

  /** Takes no more requests; closes connections as they become idle. */
  stopListening(): void {
    this.#stage = "closed";
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  /** Closes every connection. */
  cut(): void {
    this.#server.closeAllConnections();
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const exchange = new Exchange(this.#parts, request, response);
    if (this.#stage !== "open") exchange.answer.closeAfter();
    this.#open.add(exchange);
    response.once("finish", () => this.#closeIfIdle(request));
    try {
      if (this.#stage === "closed") exchange.refuse("stopping");
      else await exchange.run();
    } catch (error) {
      // A defect must not take the other callers' requests with it.
      const { message, stack } = error as Error;
      this.#parts.events.error("defect", { message, stack });
      response.destroy();
    } finally {
      this.#open.delete(exchange);
    }
  }

  /** An answer that began before the end was known kept its connection. */
  #closeIfIdle({ socket }: IncomingMessage): void {
    if (this.#stage === "closed") socket.end();
  }
}
