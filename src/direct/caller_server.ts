/** HTTP server to which callers connect. */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import * as net from "node:net";
import type { QueueReport } from "../common/accept_queue.ts";
import { listen } from "../common/listen.ts";
import { OverloadGuard } from "../common/overload_guard.ts";
import { ProcessorShare } from "../common/processor_share.ts";
import { timerMs } from "../common/timer.ts";
import type { CallerLimits } from "../routing/mod.ts";
import { SHORT_RETRY_AFTER_MS, withJitter } from "../scheduling/mod.ts";
import type { ListenAddress } from "../transport/mod.ts";
import { CallerConnections } from "./caller_connections.ts";
import { Exchange, type ExchangeDependencies } from "./exchange.ts";

/** Limit of the HTTP parser itself, above any configured limit. */
const PARSER_HEADER_LIMIT_BYTES = 64 * 1024;
/**
 * Length of the queue of connections that wait to be accepted. It is short, as
 * accepting callers that have given up in it would only delay those behind.
 */
const ACCEPT_BACKLOG = 64;
/** Interval of the check for callers that send their headers too slowly. */
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;
/**
 * Shortest Retry-After of callers that an overloaded router refuses although they
 * have come back from another one: the fleet may be overloaded, too. The others
 * come back at once, since the load balancer sends retries to other routers.
 */
const OVERLOAD_RETRY_AFTER_MS = 2_000;
/** Shorter spans in which connections wait are bursts, and aren't logged. */
const LOGGED_QUEUE_MS = 100;

/** Stage of the shutdown. */
type Stage = "open" | "draining" | "closed";

/** Serves callers' requests over HTTP. */
export class CallerServer {
  readonly #deps: ExchangeDependencies;
  readonly #server: Server;
  readonly #exchanges = new Set<Exchange>();
  /** Exchanges whose responses aren't flushed, by open connection. */
  readonly #unflushed = new Map<net.Socket, Set<Exchange>>();
  readonly #guard: OverloadGuard;
  readonly #connections: CallerConnections;
  readonly #processorShare: ProcessorShare;
  #stage: Stage = "open";
  /** Requests refused as overloaded since the last log line. */
  #refusedUnlogged = 0;
  /** Connections closed unread until the last log line. */
  #shedBefore = 0;

  /** @param maxConnections callers' connections that may be open at once */
  constructor(
    deps: ExchangeDependencies,
    { maxConnections }: { readonly maxConnections: number },
  ) {
    const { clock, held, metrics } = deps;
    this.#deps = deps;
    this.#processorShare = new ProcessorShare(clock);
    const options = {
      maxHeaderSize: PARSER_HEADER_LIMIT_BYTES,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
      noDelay: true,
    };
    this.#server = createServer(options, (request, response) => {
      void this.#serve(request, response);
    });
    this.#server.on("connection", (socket) => {
      this.#unflushed.set(socket, new Set());
      socket.once("close", () => this.#unflushed.delete(socket));
    });
    this.#connections = new CallerConnections(this.#server, {
      ...{ held, limit: maxConnections },
      onClose: (reason) =>
        metrics.count("oriole_closed_connections_total", { reason }),
    });
    this.#guard = new OverloadGuard(this.#server, {
      clock,
      backlog: ACCEPT_BACKLOG,
      onReport: (report) => this.#recordQueue(report),
    });
  }

  /** Number of requests in progress. */
  get openRequests(): number {
    return this.#exchanges.size;
  }

  /** Number of open connections. */
  get connections(): number {
    return this.#connections.size;
  }

  /** Whether a request is in progress or a response isn't flushed. */
  get isBusy(): boolean {
    if (this.#exchanges.size > 0) return true;
    return [...this.#unflushed.values()].some(({ size }) => size > 0);
  }

  /** Whether it can take the callers that the load balancer sends. */
  get isReady(): boolean {
    return this.#stage === "open" && this.#guard.isReady;
  }

  /** Time for which connections have been waiting to be accepted, in ms. */
  get standingQueueMs(): number {
    return this.#guard.standingQueueMs;
  }

  /** Starts listening. Rejects if the address can't be bound. */
  async listen({ host, port }: ListenAddress): Promise<void> {
    await listen(this.#server, { host, port, backlog: ACCEPT_BACKLOG });
  }

  /** Applies the timeouts of callers' connections. */
  setLimits({ headerTimeoutMs, idleTimeoutMs }: CallerLimits): void {
    this.#server.headersTimeout = timerMs(headerTimeoutMs);
    this.#server.keepAliveTimeout = timerMs(idleTimeoutMs);
  }

  /** Makes callers reconnect for their next request, at another router. */
  disableKeepAlive(): void {
    this.#stage = "draining";
    for (const exchange of this.#exchanges)
      exchange.response.disableKeepAlive();
  }

  /** Accepts no more requests; closes connections as they become idle. */
  stopListening(): void {
    this.#stage = "closed";
    // Server.close() of node:http also destroys connections on which the end of
    // a response isn't flushed.
    net.Server.prototype.close.call(this.#server);
    this.#closeIdleConnections();
  }

  /** Closes all connections, also those with a request in progress. */
  closeAllConnections(): void {
    for (const exchanges of this.#unflushed.values()) {
      for (const { response } of exchanges) {
        if (response.hasStarted) response.resetAtOnce();
      }
    }
    this.#server.closeAllConnections();
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    // Requests that a connection has sent before it was closed.
    if (request.socket.destroyed) return;
    const exchange = new Exchange(this.#deps, request, response);
    const bodyBytes = () => exchange.bodyBytes;
    const freeRequest = this.#connections.openRequest({ request, bodyBytes });
    if (this.#stage !== "open") exchange.response.disableKeepAlive();
    this.#exchanges.add(exchange);
    const unflushed = this.#unflushed.get(request.socket);
    unflushed?.add(exchange);
    response.once("finish", () => this.#closeIfIdle(request));
    response.once("close", () => {
      unflushed?.delete(exchange);
      freeRequest?.();
      if (this.#stage === "closed") this.#closeIdleConnections();
    });
    try {
      if (this.#stage === "closed") exchange.refuse("stopping");
      else if (freeRequest === null) exchange.refuse("no-memory");
      else await this.#runUnlessOverloaded(exchange);
    } catch (error) {
      // A bug in one exchange must not end the process and other requests.
      const { message, stack } = error as Error;
      this.#deps.events.error("defect", { message, stack });
      exchange.response.reset();
    } finally {
      exchange.close();
      this.#exchanges.delete(exchange);
    }
  }

  async #runUnlessOverloaded(exchange: Exchange): Promise<void> {
    const { response } = exchange;
    const verdict = await this.#guard.judge({
      isDisconnected: () => response.isDisconnected,
      isBelowShare: () => exchange.isBelowShare,
    });
    switch (verdict) {
      case "serve":
        await exchange.run().finally(() => this.#guard.release());
        return;
      case "refuse":
        this.#refusedUnlogged += 1;
        exchange.refuse("overloaded", {
          retryAfterMs: withJitter(
            exchange.hasComeBack
              ? OVERLOAD_RETRY_AFTER_MS
              : SHORT_RETRY_AFTER_MS,
          ),
        });
        return;
      case "left":
        exchange.drop();
        return;
      default:
        verdict satisfies never;
    }
  }

  #recordQueue({ standingMs, accepted, longestTurnMs }: QueueReport): void {
    const { metrics, events } = this.#deps;
    metrics.count("oriole_connections_total", {}, accepted);
    metrics.observe("oriole_accept_queue_seconds", standingMs);
    const processorShare = this.#processorShare.take();
    const refused = this.#refusedUnlogged;
    this.#refusedUnlogged = 0;
    const shed = this.#guard.shedConnections - this.#shedBefore;
    this.#shedBefore += shed;
    metrics.count("oriole_shed_connections_total", {}, shed);
    if (standingMs < LOGGED_QUEUE_MS) return;
    events.warn("accept-queue", {
      ...{ standingMs: Math.round(standingMs), accepted, refused, shed },
      processorShare: Number(processorShare.toFixed(3)),
      longestTurnMs: Math.round(longestTurnMs),
      ...{
        openRequests: this.openRequests,
        limit: this.#guard.limit,
        ready: this.isReady,
      },
    });
  }

  /** Waits for responses that have ended to be flushed, then closes the idle. */
  #closeIdleConnections(): void {
    if (!this.#isFlushing()) this.#server.closeIdleConnections();
  }

  #isFlushing(): boolean {
    return [...this.#unflushed.values()].some((exchanges) =>
      [...exchanges].some(({ response }) => response.hasEnded),
    );
  }

  /**
   * Closes a connection whose response started before the shutdown, and so
   * without `Connection: close`.
   */
  #closeIfIdle({ socket }: IncomingMessage): void {
    if (this.#stage === "closed") socket.end();
  }
}
