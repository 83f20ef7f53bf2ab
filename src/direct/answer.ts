/** The answer to one caller. */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { OF_CONNECTION } from "../common/of_connection.ts";
import { bodyOf, type Failure } from "../router/failure.ts";
import type { AnswerHeaders, Dialect } from "./dialect.ts";

/** Headers that concern the connection to a backend server only. */
const DROPPED = new Set([
  ...OF_CONNECTION,
  ...["proxy-connection", "proxy-authenticate"],
]);

/** How an answer's end is told from a broken connection. */
export type Framing = "length" | "chunks" | "until-close";

/** Returns how a backend server's answer is framed. */
export function framingOf(headers: AnswerHeaders): Framing {
  if (headers["transfer-encoding"] !== undefined) return "chunks";
  return headers["content-length"] === undefined ? "until-close" : "length";
}

/** Writes one answer; knows when its caller has gone. */
export class Answer {
  readonly #response: ServerResponse;
  readonly #socket: Socket;
  readonly #gone = new AbortController();
  #status: number | null = null;

  constructor(request: IncomingMessage, response: ServerResponse) {
    this.#response = response;
    const { socket } = request;
    this.#socket = socket;
    const leave = () => this.#gone.abort();
    // The end of the caller's side is read well before the whole is closed.
    socket.once("end", leave);
    response.on("close", () => {
      socket.off("end", leave);
      if (!response.writableFinished) leave();
    });
    if (response.destroyed || request.socket.destroyed) this.#gone.abort();
  }

  /** Aborts when the caller goes away before its answer is whole. */
  get gone(): AbortSignal {
    return this.#gone.signal;
  }

  /** Whether the caller has gone, also when nobody was told of it yet. */
  get left(): boolean {
    return this.#gone.signal.aborted || this.#socket.destroyed;
  }

  /** Status that the caller was given; null before it. */
  get status(): number | null {
    return this.#status;
  }

  /** Whether the caller has a part of the answer. */
  get begun(): boolean {
    return this.#status !== null;
  }

  /** Asks the caller to open a new connection for its next request. */
  closeAfter(): void {
    if (!this.#response.headersSent) this.#response.shouldKeepAlive = false;
  }

  /** Passes status and headers on. */
  begin(status: number, headers: AnswerHeaders): void {
    this.#status = status;
    const response = this.#response;
    response.statusCode = status;
    for (const [name, value] of Object.entries(headers)) {
      if (value === undefined || DROPPED.has(name)) continue;
      response.setHeader(name, value);
    }
    if (framingOf(headers) === "until-close") {
      // A framed answer would look complete although nobody knows that it is.
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
    }
    response.flushHeaders();
  }

  /** Passes bytes on; returns whether the caller keeps up. */
  write(bytes: Buffer): boolean {
    return this.#response.write(bytes);
  }

  /** Calls back once the caller has caught up. */
  onceDrained(resume: () => void): void {
    this.#response.once("drain", resume);
  }

  /** Ends a whole answer. */
  end(): void {
    this.#response.end();
  }

  /** Tells the caller that it gets no whole answer. */
  fail(failure: Failure, dialect: Dialect): void {
    if (this.gone.aborted) return;
    if (this.begun) {
      // A reset is the only way to say that an answer is not whole.
      this.#response.socket?.resetAndDestroy();
      return;
    }
    this.#status = failure.status;
    const body = bodyOf(failure);
    this.#response.writeHead(failure.status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(body),
      ...(failure.retryAfterMs === null
        ? {}
        : { "retry-after": dialect.retryAfter(failure.retryAfterMs) }),
    });
    this.#response.end(body);
  }
}
