/** Sends a request to a backend server and forwards the response. */

import type { Dispatcher } from "undici";
import type {
  BackendConnection,
  BackendRequest,
} from "./backend_connection.ts";
import { type CallerResponse, framingOf } from "./caller_response.ts";
import type { Dialect, ResponseHeaders, ResponseTerms } from "./dialect.ts";
import type { EventSplitter } from "./event_splitter.ts";

/**
 * Longest response that is buffered until it is complete; until then a failed
 * send can still be retried.
 */
const BUFFER_LIMIT_BYTES = 64 * 1024;

/** How a send ended. */
export type SendResult =
  /** The complete response was forwarded to the caller. */
  | { readonly type: "complete"; readonly status: number }
  /** The server states that it did not run the request. */
  | { readonly type: "not-run"; readonly status: number }
  /** The server responded with a failure, which was not forwarded. */
  | { readonly type: "failed"; readonly status: number }
  /** No complete, valid response came; the request may have run. */
  | { readonly type: "broken"; readonly reason: string }
  /** Cancelled: the caller disconnected, or the deadline passed. */
  | { readonly type: "aborted" };

/** How one response is validated and forwarded. */
export interface RelayOptions {
  /** Id that the response must name, if it names one. */
  readonly requestId: string | null;
  readonly dialect: Dialect;
  /** Whether 5xx responses are withheld, so that the request can be retried. */
  readonly withholdsFailures: boolean;
  /** Splitter of a resumable event stream; null for other responses. */
  readonly splitter: EventSplitter | null;
  /** Whether the response is forwarded as it arrives instead of buffered. */
  readonly streaming: boolean;
  /** Time without data after which the send fails; null for no timeout. */
  readonly silenceTimeoutMs: number | null;
  /** Called on all data of the body. */
  readonly onData: () => void;
  /** Called on the first byte of the body. */
  readonly onFirstByte: () => void;
}

type Controller = Dispatcher.DispatchController;

/** A response is forwarded, or read to its end and discarded. */
type Disposition = "forward" | "not-run" | "failed";

/** One send to one server. Call `run` only once. */
export class Relay {
  readonly #response: CallerResponse;
  readonly #connection: BackendConnection;
  readonly #options: RelayOptions;
  #resolve: (result: SendResult) => void = () => {};
  #hasEnded = false;
  #status = 0;
  #headers: ResponseHeaders = {};
  #disposition: Disposition = "forward";
  #buffered: Buffer[] | null = null;
  #bufferedBytes = 0;
  #hasFirstByte = false;
  #silenceTimer: NodeJS.Timeout | null = null;

  constructor(
    response: CallerResponse,
    connection: BackendConnection,
    options: RelayOptions,
  ) {
    this.#response = response;
    this.#connection = connection;
    this.#options = options;
  }

  /** Sends the request; resolves with the result and never rejects. */
  run(request: BackendRequest, cancelSignal: AbortSignal): Promise<SendResult> {
    return new Promise((resolve) => {
      const abort = () => {
        this.#connection.destroy();
        this.#end({ type: "aborted" });
      };
      this.#resolve = (result) => {
        this.#stopSilenceTimer();
        cancelSignal.removeEventListener("abort", abort);
        resolve(result);
      };
      if (cancelSignal.aborted) {
        abort();
        return;
      }
      cancelSignal.addEventListener("abort", abort, { once: true });
      this.#restartSilenceTimer();
      this.#connection.send(request, {
        onRequestStart: () => {},
        onResponseStart: (_controller, status, headers) =>
          this.#onHeaders(status, headers),
        onResponseData: (controller, chunk) => this.#onData(controller, chunk),
        onResponseEnd: () => this.#onEnd(),
        onResponseError: (_controller, error) => this.#break(error.message),
      });
    });
  }

  #stopSilenceTimer(): void {
    if (this.#silenceTimer !== null) clearTimeout(this.#silenceTimer);
    this.#silenceTimer = null;
  }

  #restartSilenceTimer(): void {
    const { silenceTimeoutMs } = this.#options;
    if (silenceTimeoutMs === null || this.#hasEnded) return;
    if (this.#silenceTimer !== null) {
      this.#silenceTimer.refresh();
      return;
    }
    const reason = `Nothing came for ${silenceTimeoutMs} ms`;
    this.#silenceTimer = setTimeout(
      () => this.#break(reason),
      silenceTimeoutMs,
    );
  }

  #onHeaders(status: number, headers: ResponseHeaders): void {
    if (status < 200 || this.#hasEnded) return;
    const { dialect } = this.#options;
    const terms = dialect.readResponse(status, headers);
    const rejection = this.#rejectionReason(status, headers, terms);
    if (rejection !== null) {
      this.#break(rejection);
      return;
    }
    this.#status = status;
    this.#headers = headers;
    this.#disposition = this.#dispositionOf(status, terms);
    if (this.#disposition !== "forward") return;
    if (!this.#options.streaming) this.#buffered = [];
    else if (this.#options.splitter === null) this.#startResponse();
  }

  /** Why a response is invalid; null if it is valid. Logged as `reason`. */
  #rejectionReason(
    status: number,
    headers: ResponseHeaders,
    terms: ResponseTerms,
  ): string | null {
    const { requestId } = this.#options;
    if (terms.requestId !== null && terms.requestId !== requestId) {
      return "The server answered another request";
    }
    if (terms.notRun) return null;
    if (!terms.authentic) return `Status ${status} is not a server's own`;
    if (headers["content-encoding"] !== undefined) {
      return "The answer is encoded though nobody asked for it";
    }
    return null;
  }

  #dispositionOf(status: number, { notRun }: ResponseTerms): Disposition {
    if (notRun) return "not-run";
    const failed = status >= 500 && this.#options.withholdsFailures;
    // A response that has started can only be resumed by a 2xx one.
    const cannotResume =
      this.#response.hasStarted && (status < 200 || status >= 300);
    return failed || cannotResume ? "failed" : "forward";
  }

  #onData(controller: Controller, chunk: Buffer): void {
    if (this.#hasEnded || this.#disposition !== "forward") return;
    this.#restartSilenceTimer();
    this.#options.onData();
    if (!this.#hasFirstByte) {
      this.#hasFirstByte = true;
      this.#options.onFirstByte();
    }
    if (this.#buffered === null) {
      this.#forward(controller, chunk);
      return;
    }
    this.#buffered.push(chunk);
    this.#bufferedBytes += chunk.length;
    if (this.#bufferedBytes > BUFFER_LIMIT_BYTES) this.#flush(controller);
  }

  #forward(controller: Controller, chunk: Buffer): void {
    const { splitter } = this.#options;
    const bytes = splitter === null ? chunk : splitter.push(chunk);
    if (bytes.length === 0) return;
    this.#startResponse();
    if (this.#response.write(bytes)) return;
    controller.pause();
    // Back pressure from a slow caller isn't silence of the server.
    this.#stopSilenceTimer();
    this.#response.onDrain(() => {
      this.#restartSilenceTimer();
      controller.resume();
    });
  }

  /** Forwards what is buffered of a response over the buffer limit. */
  #flush(controller: Controller): void {
    const buffered = Buffer.concat(this.#buffered ?? []);
    this.#buffered = null;
    this.#forward(controller, buffered);
  }

  #startResponse(): void {
    if (!this.#response.hasStarted)
      this.#response.start(this.#status, this.#headers);
  }

  #onEnd(): void {
    const { error } = this.#connection;
    const untilClose = framingOf(this.#headers) === "until-close";
    // For a response that lasts until the connection closes, a reset looks like
    // its end; only the socket's error shows that it is truncated.
    if (untilClose && error !== null) {
      this.#break(error.message);
      return;
    }
    const status = this.#status;
    switch (this.#disposition) {
      case "not-run":
      case "failed":
        this.#end({ type: this.#disposition, status });
        return;
      case "forward":
        break;
      default:
        this.#disposition satisfies never;
    }
    if (this.#options.splitter?.hasPartialEvent) {
      this.#break("The stream ended within an event");
      return;
    }
    this.#finish(status);
  }

  #finish(status: number): void {
    this.#startResponse();
    for (const bytes of this.#buffered ?? []) this.#response.write(bytes);
    this.#response.end();
    this.#end({ type: "complete", status });
  }

  #break(reason: string): void {
    this.#end({ type: "broken", reason });
    this.#connection.destroy();
  }

  #end(result: SendResult): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#resolve(result);
  }
}
