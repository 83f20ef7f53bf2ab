/** The response to one caller. */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import * as connectionReset from "../common/connection_reset.ts";
import { HOP_BY_HOP_HEADERS } from "../common/hop_by_hop_headers.ts";
import { bodyOf, type Failure } from "../router/failure.ts";
import { BodyWriter } from "./body_writer.ts";
import type { Dialect, ResponseHeaders } from "./dialect.ts";

/** Headers that only concern the connection to a backend server. */
const UNFORWARDED_HEADERS = new Set([
  ...HOP_BY_HOP_HEADERS,
  ...["proxy-connection", "proxy-authenticate"],
]);

/** What marks the end of a response's body. */
export type Framing = "length" | "chunks" | "until-close";

/** Returns how a backend server's response is framed. */
export function framingOf(headers: ResponseHeaders): Framing {
  if (headers["transfer-encoding"] !== undefined) return "chunks";
  return headers["content-length"] === undefined ? "until-close" : "length";
}

/** What a response depends on besides its request. */
export interface CallerResponseOptions {
  /**
   * Time for which the caller's connection may be idle after the response, in
   * ms; null if it isn't announced.
   */
  readonly idleTimeoutMs: () => number | null;
}

/** What may follow the first part of a response. */
export interface ResponseStart {
  /** Whether streams of other servers may go on in it where it breaks off. */
  readonly isResumable: boolean;
}

const MS_PER_SECOND = 1_000;
/**
 * Time for which a connection stays open after a refusal that closes it while
 * the request's body still arrives. Closing it with unread bytes would reset it,
 * and the caller might not get the refusal.
 */
const REFUSAL_READ_MS = 1_000;
/**
 * Time that a caller is given to read the last bytes of a response that only a
 * reset shows to be truncated. Many runtimes take a reset that they read together
 * with data for the end; a busy process reads some ten milliseconds late.
 */
const LAST_READ_MS = 100;

/** Writes one response and detects a disconnect of its caller. */
export class CallerResponse {
  readonly #request: IncomingMessage;
  readonly #response: ServerResponse;
  readonly #body: BodyWriter;
  readonly #socket: Socket;
  readonly #options: CallerResponseOptions;
  readonly #disconnect = new AbortController();
  #status: number | null = null;
  #isResumable = false;
  #endsWithConnection = false;

  constructor(
    request: IncomingMessage,
    response: ServerResponse,
    options: CallerResponseOptions,
  ) {
    this.#request = request;
    this.#response = response;
    this.#body = new BodyWriter(response);
    this.#options = options;
    const { socket } = request;
    this.#socket = socket;
    const disconnect = () => this.#disconnect.abort();
    // A caller's FIN is read well before the response's `close` event.
    // Both count as a disconnect.
    socket.once("end", disconnect);
    response.on("close", () => {
      socket.off("end", disconnect);
      if (!response.writableFinished) disconnect();
    });
    if (response.destroyed || request.socket.destroyed)
      this.#disconnect.abort();
  }

  /** Aborts if the caller disconnects before its response is complete. */
  get disconnectSignal(): AbortSignal {
    return this.#disconnect.signal;
  }

  /** Whether the caller has disconnected, even if the signal hasn't fired. */
  get isDisconnected(): boolean {
    return this.#disconnect.signal.aborted || this.#socket.destroyed;
  }

  /** Status that was sent to the caller; null before it. */
  get status(): number | null {
    return this.#status;
  }

  /** Whether a status was sent to the caller. */
  get hasStarted(): boolean {
    return this.#status !== null;
  }

  /** Whether a status was sent, and the stream of another server may follow. */
  get isResumable(): boolean {
    return this.#isResumable;
  }

  /** Whether the whole response was written; it may not be flushed yet. */
  get hasEnded(): boolean {
    return this.#response.writableEnded;
  }

  /** Closes the connection after this response, unless headers were sent. */
  disableKeepAlive(): void {
    if (!this.#response.headersSent) this.#response.shouldKeepAlive = false;
  }

  /** Sends a backend server's status and headers. */
  start(
    status: number,
    headers: ResponseHeaders,
    { isResumable }: ResponseStart,
  ): void {
    this.#status = status;
    this.#isResumable = isResumable;
    const response = this.#response;
    response.statusCode = status;
    for (const [name, value] of Object.entries(headers)) {
      if (value === undefined || UNFORWARDED_HEADERS.has(name)) continue;
      // Streams of two servers that go on in one response differ in length.
      if (isResumable && name === "content-length") continue;
      response.setHeader(name, value);
    }
    if (framingOf(headers) === "until-close") {
      // A server's close doesn't show that its response is complete, so the
      // router must not mark an end by a last chunk.
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
    }
    this.#announceIdleTimeout();
    this.#endsWithConnection = connectionReset.endsWithConnection(response);
    if (this.#endsWithConnection) connectionReset.resetUntilFinished(response);
    response.flushHeaders();
  }

  /** Sends body bytes; returns false if the caller should take them first. */
  write(bytes: Buffer): boolean {
    return this.#body.write(bytes);
  }

  /** Calls back once when the caller has taken everything. */
  onDrain(callback: () => void): void {
    this.#body.onDrain(callback);
  }

  /** Ends a complete response. */
  end(): void {
    this.#body.end();
  }

  /** Resets the connection, so that a truncated response can't look complete. */
  reset(): void {
    if (!this.#endsWithConnection) {
      this.resetAtOnce();
      return;
    }
    const timer = setTimeout(() => this.resetAtOnce(), LAST_READ_MS);
    this.#response.once("close", () => clearTimeout(timer));
  }

  /** Resets the connection though its caller may not have read all of it. */
  resetAtOnce(): void {
    this.#response.socket?.resetAndDestroy();
  }

  /** Sends a failure, or resets the connection if the response has started. */
  fail(failure: Failure, dialect: Dialect): void {
    if (this.disconnectSignal.aborted) return;
    if (this.hasStarted) {
      this.reset();
      return;
    }
    this.#status = failure.status;
    const body = bodyOf(failure);
    this.#announceIdleTimeout();
    this.#response.writeHead(failure.status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(body),
      ...(failure.retryAfterMs === null
        ? {}
        : { "retry-after": dialect.retryAfter(failure.retryAfterMs) }),
    });
    this.#endAfterBody(body);
  }

  /** Ends a failure, once its request's body has ended if the connection closes. */
  #endAfterBody(text: string): void {
    const request = this.#request;
    const response = this.#response;
    if (request.complete || response.shouldKeepAlive) {
      response.end(text);
      return;
    }
    response.write(text);
    const end = () => {
      clearTimeout(timer);
      if (!response.writableEnded) response.end();
    };
    const timer = setTimeout(end, REFUSAL_READ_MS);
    request.once("end", end);
    request.once("close", end);
  }

  /** Node announces the limit that held when the request arrived. */
  #announceIdleTimeout(): void {
    const idleTimeoutMs = this.#options.idleTimeoutMs();
    if (idleTimeoutMs === null || !this.#response.shouldKeepAlive) return;
    const seconds = Math.floor(idleTimeoutMs / MS_PER_SECOND);
    this.#response.setHeader("Keep-Alive", `timeout=${seconds}`);
  }
}
