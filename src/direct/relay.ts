/** Sends a request to a backend server and forwards the response. */

import type { Dispatcher } from "undici";
import { HeldBuffer } from "../common/held_buffer.ts";
import type { HeldBytes } from "../common/held_bytes.ts";
import { isInformational } from "../common/http_status.ts";
import { timerMs } from "../common/timer.ts";
import type {
  BackendConnection,
  BackendRequest,
} from "./backend_connection.ts";
import { type CallerResponse, framingOf } from "./caller_response.ts";
import type { Dialect, ResponseHeaders, ResponseTerms } from "./dialect.ts";
import {
  EVENT_LIMIT_BYTES,
  EventSplitter,
  EventTracker,
  type ForwardableEvents,
  isEventStream,
  type StreamFailure,
  type StreamProgress,
} from "./event_splitter.ts";
import { rejectionReason } from "./response_check.ts";

/**
 * Longest response that is buffered until it is complete; until then a failed
 * send can still be retried.
 */
const BUFFER_LIMIT_BYTES = 64 * 1024;
/** More than one turn of the event loop reads from a connection (2 MiB). */
const TURN_LIMIT_BYTES = 4 * 1024 * 1024;
/** Longest body that is read after its head has decided the result. */
const DISCARD_LIMIT_BYTES = BUFFER_LIMIT_BYTES;
/** Servers are a few milliseconds away; a short body comes with its head. */
const DISCARD_TIMEOUT_MS = 100;
/** Logged as the reason of a broken response. */
const PARTIAL_EVENT = "The stream ended within an event";
const NO_MEMORY = "There is no memory left for the server's response";

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
  | { readonly type: "aborted" }
  /** Cancelled by `abandon`: another server serves the request. */
  | { readonly type: "abandoned" };

/** How one response is validated and forwarded. */
export interface RelayOptions {
  /** Id that the response must name, if it names one. */
  readonly requestId: string | null;
  /** Id of the server, which holds the memory that its response takes. */
  readonly server: string;
  readonly held: HeldBytes;
  readonly dialect: Dialect;
  /** Whether 5xx responses are withheld, so that the request can be retried. */
  readonly withholdsFailures: boolean;
  /** Progress of a resumable event stream; null for other responses. */
  readonly progress: StreamProgress | null;
  /** Whether the response is forwarded as it arrives instead of buffered. */
  readonly streaming: boolean;
  /** Time without data that counts as silence; null if it doesn't matter. */
  readonly silenceTimeoutMs: number | null;
  /** Called once nothing has come for `silenceTimeoutMs`. */
  readonly onSilence: () => void;
  /** Called when the response goes on after a silence. */
  readonly onResumed: () => void;
  /** Called before bytes of the response are forwarded. */
  readonly onClaim: () => void;
  /** Called once on the head of a response from the server. */
  readonly onHead: (terms: ResponseTerms) => void;
  /** Called on all data of the body. */
  readonly onData: () => void;
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
  /** Finds the ends of events; null if the response isn't an event stream. */
  #events: EventSplitter | EventTracker | null = null;
  #receivedBytes = 0;
  /** Whether the response is buffered until it is complete. */
  #isBuffered = false;
  /** Bytes that wait to be forwarded. */
  readonly #waiting: HeldBuffer;
  /** Null if the response isn't a resumable event stream. */
  #splitter: EventSplitter | null = null;
  #discardedBytes = 0;
  #discardTimer: NodeJS.Timeout | null = null;
  #silenceTimer: NodeJS.Timeout | null = null;
  #isSilent = false;

  constructor(
    response: CallerResponse,
    connection: BackendConnection,
    options: RelayOptions,
  ) {
    this.#response = response;
    this.#connection = connection;
    this.#options = options;
    this.#waiting = this.#createBuffer(TURN_LIMIT_BYTES);
  }

  /** Sends the request; resolves with the result and never rejects. */
  run(request: BackendRequest, cancelSignal: AbortSignal): Promise<SendResult> {
    return new Promise((resolve) => {
      const abort = () => {
        this.#end({ type: "aborted" });
        this.#connection.destroy();
      };
      this.#resolve = (result) => {
        this.#stopSilenceTimer();
        if (this.#discardTimer !== null) clearTimeout(this.#discardTimer);
        cancelSignal.removeEventListener("abort", abort);
        resolve(result);
      };
      if (cancelSignal.aborted) {
        abort();
        return;
      }
      cancelSignal.addEventListener("abort", abort, { once: true });
      this.restartSilenceTimer();
      this.#connection.send(request, {
        onRequestStart: () => {},
        onResponseStart: (_controller, status, headers) =>
          this.#onHeaders(status, headers),
        onResponseData: (controller, chunk) => this.#onData(controller, chunk),
        onResponseEnd: (controller) => this.#onEnd(controller),
        onResponseError: (_controller, error) => this.#onError(error),
      });
    });
  }

  /** Closes the connection; `run` resolves with "abandoned". */
  abandon(): void {
    this.#end({ type: "abandoned" });
    this.#connection.destroy();
  }

  /** Reports the next silence, if nothing comes for `silenceTimeoutMs`. */
  restartSilenceTimer(): void {
    const { silenceTimeoutMs } = this.#options;
    if (silenceTimeoutMs === null || this.#hasEnded) return;
    if (this.#silenceTimer !== null) {
      this.#silenceTimer.refresh();
      return;
    }
    this.#silenceTimer = setTimeout(() => {
      this.#isSilent = true;
      this.#options.onSilence();
    }, timerMs(silenceTimeoutMs));
  }

  #stopSilenceTimer(): void {
    if (this.#silenceTimer !== null) clearTimeout(this.#silenceTimer);
    this.#silenceTimer = null;
  }

  #noteActivity(): void {
    this.restartSilenceTimer();
    if (!this.#isSilent) return;
    this.#isSilent = false;
    this.#options.onResumed();
  }

  #onHeaders(status: number, headers: ResponseHeaders): void {
    if (isInformational(status) || this.#hasEnded) return;
    const { dialect } = this.#options;
    const terms = dialect.readResponse(status, headers);
    const rejection = rejectionReason(
      { status, headers, terms },
      {
        requestId: this.#options.requestId,
        isFirstUse: this.#connection.isFirstUse,
      },
    );
    if (rejection !== null) {
      this.#break(rejection);
      return;
    }
    this.#options.onHead(terms);
    // What comes next couldn't be told from a copy of this response.
    if (terms.requestId === null) this.#connection.retire();
    this.#status = status;
    this.#headers = headers;
    this.#disposition = this.#dispositionOf(status, terms);
    if (this.#disposition !== "forward") {
      const stop = () => this.#stopDiscarding();
      this.#discardTimer = setTimeout(stop, DISCARD_TIMEOUT_MS);
      return;
    }
    this.#noteActivity();
    const { streaming, progress } = this.#options;
    if (streaming && isEventStream(status, headers)) {
      if (progress !== null) {
        const partialEvent = this.#createBuffer(EVENT_LIMIT_BYTES);
        this.#splitter = new EventSplitter(partialEvent);
      }
      this.#events = this.#splitter ?? new EventTracker();
    }
    if (!streaming) this.#isBuffered = true;
    // A resumable stream starts with its first complete event, and a response
    // without a length with what isn't reset at once.
    else if (this.#splitter === null && !this.#lastsUntilClose)
      this.#startResponse();
  }

  #dispositionOf(status: number, { notRun }: ResponseTerms): Disposition {
    if (notRun) return "not-run";
    const failed = status >= 500 && this.#options.withholdsFailures;
    // Only a stream that has started can be resumed, and only by a stream.
    const { hasStarted, isResumable } = this.#response;
    const canResume = isResumable && isEventStream(status, this.#headers);
    const cannotResume = hasStarted && !canResume;
    return failed || cannotResume ? "failed" : "forward";
  }

  #onData(controller: Controller, chunk: Buffer): void {
    if (this.#hasEnded) return;
    if (this.#disposition !== "forward") {
      this.#discardedBytes += chunk.length;
      if (this.#discardedBytes > DISCARD_LIMIT_BYTES) this.#stopDiscarding();
      return;
    }
    this.#options.onData();
    // A server that sends parts of an event now and then is as good as silent.
    if (this.#options.progress === null) this.#noteActivity();
    if (!this.#isBuffered) {
      this.#pass(controller, chunk);
      return;
    }
    this.#keep(chunk);
    if (this.#waiting.sizeBytes > BUFFER_LIMIT_BYTES) this.#flush(controller);
  }

  /**
   * Forwards bytes; those of a response without a length in the next turn of the
   * event loop. A reset that was read together with them is known by then, and a
   * caller that got both at once could take it for the end.
   */
  #pass(controller: Controller, chunk: Buffer): void {
    if (!this.#lastsUntilClose) {
      this.#forward(controller, chunk);
      return;
    }
    if (this.#waiting.sizeBytes + chunk.length > TURN_LIMIT_BYTES)
      this.#forwardWaiting(controller);
    if (this.#waiting.sizeBytes === 0) this.#forwardInNextTurn(controller);
    this.#keep(chunk);
  }

  #forwardInNextTurn(controller: Controller): void {
    setImmediate(() => this.#forwardWaiting(controller));
  }

  #forwardWaiting(controller: Controller): void {
    if (this.#hasEnded || this.#isBuffered) return;
    if (this.#waiting.sizeBytes > 0)
      this.#forward(controller, this.#waiting.take());
  }

  /** Keeps bytes that can't be forwarded yet. */
  #keep(chunk: Buffer): void {
    if (!this.#hasEnded && this.#waiting.append(chunk) !== "kept")
      this.#break(NO_MEMORY);
  }

  #forward(controller: Controller, chunk: Buffer): void {
    const events = this.#events?.push(chunk) ?? { bytes: chunk, lastId: null };
    this.#receivedBytes += chunk.length;
    const reason = this.#reasonToBreak();
    if (reason === null) {
      this.#write(controller, events);
      return;
    }
    // A stream that goes on at another server does so after these events. Where
    // it can't, the last bytes of a length would make it look complete.
    if (this.#splitter !== null) this.#write(controller, events);
    this.#break(reason);
  }

  /** Why the response can't go on; null if it can. */
  #reasonToBreak(): string | null {
    if (this.#events?.hasPartialEvent && this.#hasFullLength)
      return PARTIAL_EVENT;
    const failure = this.#events?.failure ?? null;
    return failure === null ? null : reasonOf(failure);
  }

  #write(controller: Controller, { bytes, lastId }: ForwardableEvents): void {
    if (bytes.length === 0) return;
    this.#noteActivity();
    this.#startResponse();
    const isTaken = this.#response.write(bytes);
    this.#noteForwarded(lastId);
    if (isTaken) return;
    controller.pause();
    // Back pressure from a slow caller isn't silence of the server.
    this.#stopSilenceTimer();
    this.#response.onDrain(() => {
      this.restartSilenceTimer();
      controller.resume();
    });
  }

  /** Another server goes on after this event; call it once it is written. */
  #noteForwarded(lastId: string | null): void {
    const { progress } = this.#options;
    if (progress !== null && lastId !== null) progress.lastId = lastId;
  }

  /** Forwards what is buffered of a response over the buffer limit. */
  #flush(controller: Controller): void {
    this.#isBuffered = false;
    if (this.#lastsUntilClose) this.#forwardInNextTurn(controller);
    else this.#forwardWaiting(controller);
  }

  get #lastsUntilClose(): boolean {
    return framingOf(this.#headers) === "until-close";
  }

  get #hasFullLength(): boolean {
    const length = this.#headers["content-length"];
    return length !== undefined && this.#receivedBytes >= Number(length);
  }

  #startResponse(): void {
    this.#options.onClaim();
    if (this.#response.hasStarted) return;
    const isResumable = this.#splitter !== null;
    this.#response.start(this.#status, this.#headers, { isResumable });
  }

  #onEnd(controller: Controller): void {
    if (this.#hasEnded) return;
    const { error } = this.#connection;
    // For a response that lasts until the connection closes, a reset looks like
    // its end; only the socket's error shows that it is truncated.
    if (this.#lastsUntilClose && error !== null) {
      this.#break(error.message);
      return;
    }
    this.#forwardWaiting(controller);
    if (this.#hasEnded) return;
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
    if (this.#events?.hasPartialEvent) {
      this.#break(PARTIAL_EVENT);
      return;
    }
    this.#finish(status);
  }

  #onError(error: Error): void {
    // The head has said that nothing ran, whatever becomes of the body.
    if (this.#disposition === "not-run") this.#stopDiscarding();
    else this.#break(error.message);
  }

  /** Closes the connection instead of reading a discarded body to its end. */
  #stopDiscarding(): void {
    if (this.#disposition === "forward") return;
    this.#end({ type: this.#disposition, status: this.#status });
    this.#connection.destroy();
  }

  #finish(status: number): void {
    this.#startResponse();
    if (this.#waiting.sizeBytes > 0) this.#response.write(this.#waiting.take());
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
    this.#waiting.free();
    this.#splitter?.free();
    this.#resolve(result);
  }

  #createBuffer(limitBytes: number): HeldBuffer {
    const { held, server } = this.#options;
    return new HeldBuffer(held, {
      ...{ kind: "response", group: `server ${server}`, limitBytes },
      onYield: () => this.#break(NO_MEMORY),
    });
  }
}

function reasonOf(failure: StreamFailure): string {
  switch (failure) {
    case "event-too-long":
      return `An event is over ${EVENT_LIMIT_BYTES} bytes long`;
    case "no-memory":
      return NO_MEMORY;
    default:
      return failure satisfies never;
  }
}
