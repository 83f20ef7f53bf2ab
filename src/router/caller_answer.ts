/** The answer to one caller, with back pressure. */

import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { countEvents } from "../common/event_marks.ts";
import type { Head } from "../protocol/mod.ts";
import { bodyOf, type Failure, headersOf } from "./failure.ts";

/** Writes one answer; knows when its caller has gone. */
export class CallerAnswer {
  readonly #response: ServerResponse;
  readonly #gone = new AbortController();
  #firstByteAtMs: number | null = null;
  #lastByteAtMs = 0;
  #events = 0;

  constructor(response: ServerResponse, requestId: string) {
    this.#response = response;
    response.setHeader("oriole-request-id", requestId);
    response.on("close", () => {
      if (!response.writableFinished) this.#gone.abort();
    });
    // The caller may have gone before anybody listened.
    if (response.destroyed || response.socket?.destroyed !== false) {
      this.#gone.abort();
    }
  }

  /** Aborts when the caller goes away before its answer is whole. */
  get gone(): AbortSignal {
    return this.#gone.signal;
  }

  /** Whether the caller has a part of the answer. */
  get begun(): boolean {
    return this.#response.headersSent;
  }

  /** Monotonic time of the first byte of the body; null before it. */
  get firstByteAtMs(): number | null {
    return this.#firstByteAtMs;
  }

  /** Mean time between events of a stream; null for other answers. */
  get betweenEventsMs(): number | null {
    if (this.#firstByteAtMs === null || this.#events < 2) return null;
    return (this.#lastByteAtMs - this.#firstByteAtMs) / (this.#events - 1);
  }

  /** Writes status and headers. */
  begin({ status, headers }: Head): void {
    this.#response.statusCode = status;
    for (const [name, value] of headers) {
      const before = this.#response.getHeader(name);
      const values = before === undefined ? value : [String(before), value];
      this.#response.setHeader(name, values);
    }
    this.#response.flushHeaders();
  }

  /** Writes bytes; resolves once the caller can take more. */
  async write(bytes: Buffer, nowMs: number): Promise<void> {
    this.#firstByteAtMs ??= nowMs;
    this.#lastByteAtMs = nowMs;
    this.#events += countEvents(bytes);
    if (this.#response.write(bytes)) return;
    await once(this.#response, "drain", { signal: this.gone }).catch(
      () => undefined,
    );
  }

  /** Ends a whole answer. */
  end(): void {
    this.#response.end();
  }

  /** Tells the caller that it gets no whole answer. */
  fail(failure: Failure): void {
    if (!this.begun) {
      this.#response.writeHead(failure.status, headersOf(failure));
      this.#response.end(bodyOf(failure));
      return;
    }
    // A cut connection is the only way to say that a body is not whole.
    const cut = () => this.#response.destroy();
    const type = String(this.#response.getHeader("content-type") ?? "");
    if (!type.startsWith("text/event-stream")) {
      cut();
      return;
    }
    const event = `event: error\ndata: ${bodyOf(failure)}\n\n`;
    this.#response.write(event, cut);
  }
}
