/** Measures what callers' connections hold, and bounds their number. */

import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";
import type { HeldBytes } from "../common/held_bytes.ts";
import type { Holding } from "../common/holding.ts";

/** Memory of a connection with its parser: 10 KB with an idle connection. */
const CONNECTION_BYTES = 12 * 1_024;
/**
 * Memory of a request besides its body until its response is flushed. It lies in
 * the heap, which has a smaller limit than the machine.
 */
const REQUEST_BYTES = 32 * 1_024;
/** What a response of which the caller reads nothing keeps besides its queue. */
const UNREAD_RESPONSE_BYTES = 64 * 1_024;
/**
 * Requests in progress on one connection above which it yields when memory is
 * short. Callers that wait for each response have one.
 */
const MOST_PIPELINED = 16;
/** Most that the HTTP parser keeps of a head that isn't complete. */
const PARSER_LIMIT_BYTES = 64 * 1_024;
/** Interval at which connections are measured. */
const MEASURE_INTERVAL_MS = 250;

/** Why a connection was closed. */
export type CloseReason = "pipelining" | "too-many";

/** What the connections depend on. */
export interface CallerConnectionsOptions {
  readonly held: HeldBytes;
  /** Connections that may be open at once. */
  readonly limit: number;
  readonly onClose: (reason: CloseReason) => void;
}

/** A request whose body may still arrive. */
export interface ArrivingRequest {
  readonly request: Pick<IncomingMessage, "complete" | "socket">;
  /** Bytes of its body that were received. */
  bodyBytes(): number;
}

/** One connection and what it held when it was last measured. */
interface Connection {
  readonly socket: Socket;
  readonly holding: Holding;
  requests: number;
  /** The last one that has begun. */
  latest: ArrivingRequest | null;
  /** What its body had when it was last measured. */
  bodyBytes: number;
  /** Bytes received up to the last head or piece of a body. */
  parsedBytes: number;
  /** Bytes of a head or of trailers that aren't complete. */
  unparsedBytes: number;
  receivedBytes: number;
  flushedBytes: number;
}

/** The open connections of callers. */
export class CallerConnections {
  readonly #options: CallerConnectionsOptions;
  readonly #connections = new Map<Socket, Connection>();
  readonly #timer: NodeJS.Timeout;

  constructor(server: Server, options: CallerConnectionsOptions) {
    this.#options = options;
    server.prependListener("connection", (socket) => this.#add(socket));
    this.#timer = setInterval(() => this.#measureAll(), MEASURE_INTERVAL_MS);
    this.#timer.unref();
    server.once("close", () => clearInterval(this.#timer));
  }

  /** Number of open connections. */
  get size(): number {
    return this.#connections.size;
  }

  /**
   * Takes memory for a request. Returns a function that frees it, null if there
   * is no memory; a connection with other requests in progress is closed then.
   */
  openRequest(arriving: ArrivingRequest): (() => void) | null {
    const { socket } = arriving.request;
    const connection = this.#connections.get(socket);
    if (connection === undefined || socket.destroyed) return null;
    const { holding } = connection;
    if (!holding.grow(holding.bytes + REQUEST_BYTES)) {
      // Refusals would queue behind the responses before them.
      if (connection.requests > 0) this.#close(socket);
      return null;
    }
    connection.requests += 1;
    connection.latest = arriving;
    connection.bodyBytes = 0;
    connection.parsedBytes = socket.bytesRead;
    holding.mayYield = mayYield(connection);
    return () => {
      connection.requests -= 1;
      if (connection.latest === arriving) connection.latest = null;
      connection.parsedBytes = socket.bytesRead;
      measure(connection);
      holding.restart();
    };
  }

  #close(socket: Socket): void {
    this.#options.onClose("pipelining");
    socket.destroy();
  }

  #add(socket: Socket): void {
    const holding = this.#options.held.open({
      ...{ kind: "connection", group: socket.remoteAddress ?? "" },
      onYield: () => close(socket),
    });
    this.#connections.set(socket, {
      ...{ socket, holding, requests: 0, latest: null, bodyBytes: 0 },
      ...{
        parsedBytes: 0,
        unparsedBytes: 0,
        receivedBytes: 0,
        flushedBytes: 0,
      },
    });
    socket.once("close", () => {
      holding.close();
      this.#connections.delete(socket);
    });
    holding.measure(CONNECTION_BYTES);
    if (this.#connections.size > this.#options.limit) this.#closeOne(socket);
  }

  /** Closes the connection whose caller has sent nothing for longest. */
  #closeOne(newest: Socket): void {
    let oldest: Connection | null = null;
    for (const connection of this.#connections.values()) {
      if (connection.socket === newest || !isIdle(connection)) continue;
      const { progressMs } = connection.holding;
      if (oldest === null || progressMs < oldest.holding.progressMs)
        oldest = connection;
    }
    this.#options.onClose("too-many");
    (oldest?.socket ?? newest).destroy();
  }

  #measureAll(): void {
    for (const connection of this.#connections.values()) measure(connection);
    this.#options.held.relieve();
  }
}

/** A response that is cut off must not look as if it had come to its end. */
function close(socket: Socket): void {
  if (socket.writableLength > 0) socket.resetAndDestroy();
  else socket.destroy();
}

/** Measures heads that aren't complete and responses that aren't read. */
function measure(connection: Connection): void {
  const { socket, holding, requests } = connection;
  const { bytesRead, bytesWritten, writableLength } = socket;
  const flushedBytes = bytesWritten - writableLength;
  holding.advance(bytesRead - connection.receivedBytes);
  holding.advance(flushedBytes - connection.flushedBytes);
  connection.receivedBytes = bytesRead;
  connection.flushedBytes = flushedBytes;
  const bodyBytes = connection.latest?.bodyBytes() ?? 0;
  const isWaiting = requests > 0 && !isArriving(connection);
  if (isWaiting || bodyBytes !== connection.bodyBytes)
    connection.parsedBytes = bytesRead;
  connection.bodyBytes = bodyBytes;
  // Also the rest of a refused body, of which nothing is kept.
  const unparsedBytes = Math.min(
    bytesRead - connection.parsedBytes,
    PARSER_LIMIT_BYTES,
  );
  const unreadBytes =
    writableLength === 0 ? 0 : writableLength + UNREAD_RESPONSE_BYTES;
  const requestBytes = requests * REQUEST_BYTES;
  connection.unparsedBytes = unparsedBytes;
  holding.mayYield = mayYield(connection);
  holding.measure(
    CONNECTION_BYTES + requestBytes + unparsedBytes + unreadBytes,
  );
}

/** A request that waits for its server is no reason to close its connection. */
function mayYield({ requests, unparsedBytes, socket }: Connection): boolean {
  const isAwaited = requests > 0 && requests <= MOST_PIPELINED;
  return !isAwaited || unparsedBytes > 0 || socket.writableLength > 0;
}

/** Whether the body of the latest request isn't complete. */
function isArriving({ latest }: Connection): boolean {
  return latest !== null && !latest.request.complete;
}

/** Whether it has no request, or one whose body doesn't go on. */
function isIdle(connection: Connection): boolean {
  if (connection.requests === 0) return true;
  return isArriving(connection) && connection.holding.isStalled;
}
