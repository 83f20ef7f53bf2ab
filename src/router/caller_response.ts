/** The response to one caller, with back pressure. */

import { once } from "node:events";
import type { ServerResponse } from "node:http";
import * as connectionReset from "../common/connection_reset.ts";
import { countServerSentEvents } from "../common/server_sent_events.ts";
import type { Head } from "../protocol/mod.ts";
import { bodyOf, type Failure, headersOf } from "./failure.ts";

/** Writes one response and detects when its caller disconnects. */
export class CallerResponse {
  readonly #response: ServerResponse;
  readonly #disconnect = new AbortController();
  #firstByteAtMs: number | null = null;
  #lastByteAtMs = 0;
  #eventCount = 0;

  constructor(response: ServerResponse, requestId: string) {
    this.#response = response;
    response.setHeader("oriole-request-id", requestId);
    response.on("close", () => {
      if (!response.writableFinished) this.#disconnect.abort();
    });
    // The caller may have disconnected before the listener was added.
    if (response.destroyed || response.socket?.destroyed !== false) {
      this.#disconnect.abort();
    }
  }

  /** Aborts when the caller disconnects before its response is complete. */
  get disconnectSignal(): AbortSignal {
    return this.#disconnect.signal;
  }

  /** Whether a part of the response was sent; no retry is possible then. */
  get headersSent(): boolean {
    return this.#response.headersSent;
  }

  /** Monotonic time of the first byte of the body; null before it. */
  get firstByteAtMs(): number | null {
    return this.#firstByteAtMs;
  }

  /** Mean time between events of a stream; null for other responses. */
  get meanBetweenEventsMs(): number | null {
    if (this.#firstByteAtMs === null || this.#eventCount < 2) return null;
    return (this.#lastByteAtMs - this.#firstByteAtMs) / (this.#eventCount - 1);
  }

  /** Sends status and headers. */
  writeHead({ status, headers }: Head): void {
    this.#response.statusCode = status;
    for (const [name, value] of headers) {
      const before = this.#response.getHeader(name);
      const values = before === undefined ? value : [String(before), value];
      this.#response.setHeader(name, values);
    }
    if (connectionReset.endsWithConnection(this.#response))
      connectionReset.resetUntilFinished(this.#response);
    this.#response.flushHeaders();
  }

  /** Writes bytes; resolves once the caller can take more. */
  async write(bytes: Buffer, nowMs: number): Promise<void> {
    this.#firstByteAtMs ??= nowMs;
    this.#lastByteAtMs = nowMs;
    this.#eventCount += countServerSentEvents(bytes);
    if (this.#response.write(bytes)) return;
    await once(this.#response, "drain", {
      signal: this.disconnectSignal,
    }).catch(() => undefined);
  }

  /** Ends a complete response. */
  end(): void {
    this.#response.end();
  }

  /**
   * Ends the response with a failure: as an error response if nothing has been
   * sent yet, else as an error event (event streams) or by closing the
   * connection.
   */
  fail(failure: Failure): void {
    if (!this.headersSent) {
      this.#response.writeHead(failure.status, headersOf(failure));
      this.#response.end(bodyOf(failure));
      return;
    }
    // Once the head is sent, only a closed connection tells the caller that the
    // body is incomplete.
    const closeConnection = () => this.#response.destroy();
    const type = String(this.#response.getHeader("content-type") ?? "");
    if (!type.startsWith("text/event-stream")) {
      closeConnection();
      return;
    }
    const event = `event: error\ndata: ${bodyOf(failure)}\n\n`;
    this.#response.write(event, closeConnection);
  }
}
