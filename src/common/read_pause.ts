/**
 * Back pressure from a reader of an HTTP response to the connection it comes on.
 *
 * undici pauses its parser instead, and throws in a listener of the socket if the
 * connection ends or is reset meanwhile, which ends the process.
 */

import type { Socket } from "node:net";
import type { Dispatcher } from "undici";

type Handler = Dispatcher.DispatchHandler;
type Controller = Dispatcher.DispatchController;

/**
 * Keeps what a socket has received, and its end, from an HTTP client for a time.
 * Create it before the client gets the socket.
 */
export class ReadPause {
  readonly #socket: Socket;
  #isPaused = false;

  constructor(socket: Socket) {
    this.#socket = socket;
    const read = socket.read.bind(socket);
    // A stream that isn't read emits no `end` either.
    socket.read = (sizeBytes) => (this.#isPaused ? null : read(sizeBytes));
  }

  /** Whether the client gets nothing. */
  get isPaused(): boolean {
    return this.#isPaused;
  }

  /** The client still gets the rest of what it is parsing. */
  pause(): void {
    this.#isPaused = true;
  }

  /** Lets the client read on once it asks for more. */
  release(): void {
    this.#isPaused = false;
  }

  /** Lets the client read on, at once; not while it is parsing. */
  resume(): void {
    if (!this.#isPaused) return;
    this.#isPaused = false;
    if (!this.#socket.destroyed) this.#socket.emit("readable");
  }
}

/** Returns a handler whose response is paused at its connection. */
export function pauseAtSocket(
  handler: Handler,
  currentPause: () => ReadPause,
): Handler {
  const paused = new PausedResponse(currentPause);
  return {
    onRequestStart: (inner, context) =>
      paused.call(inner, (outer) => handler.onRequestStart?.(outer, context)),
    onRequestUpgrade: (inner, ...rest) =>
      paused.call(inner, (outer) => handler.onRequestUpgrade?.(outer, ...rest)),
    onResponseStart: (inner, ...rest) =>
      paused.call(inner, (outer) => handler.onResponseStart?.(outer, ...rest)),
    onResponseData: (inner, chunk) =>
      paused.call(inner, (outer) => handler.onResponseData?.(outer, chunk)),
    onResponseEnd: (inner, trailers) => {
      paused.end();
      paused.call(inner, (outer) => handler.onResponseEnd?.(outer, trailers));
    },
    onResponseError: (inner, error) => {
      paused.end();
      paused.call(inner, (outer) => handler.onResponseError?.(outer, error));
    },
  };
}

/** One response on a connection that carries others before and after it. */
class PausedResponse {
  readonly #currentPause: () => ReadPause;
  #controller: Controller | null = null;
  #pause: ReadPause | null = null;
  #isParsing = false;
  #hasEnded = false;

  constructor(currentPause: () => ReadPause) {
    this.#currentPause = currentPause;
  }

  /** Calls a handler with a controller that pauses at the connection. */
  call(inner: Controller, callback: (outer: Controller) => void): void {
    this.#pause ??= this.#currentPause();
    this.#controller ??= this.#wrap(inner);
    this.#isParsing = true;
    try {
      callback(this.#controller);
    } finally {
      this.#isParsing = false;
    }
  }

  /**
   * The connection may carry another response now: a reader that has all of this
   * one may not have taken it yet, or never take it.
   */
  end(): void {
    this.#hasEnded = true;
    this.#pause?.release();
  }

  #resume(): void {
    if (this.#hasEnded) return;
    if (this.#isParsing) this.#pause?.release();
    else this.#pause?.resume();
  }

  #wrap(inner: Controller): Controller {
    const isPaused = () => !this.#hasEnded && (this.#pause?.isPaused ?? false);
    return {
      get aborted() {
        return inner.aborted;
      },
      get paused() {
        return isPaused();
      },
      get reason() {
        return inner.reason;
      },
      get rawHeaders() {
        return inner.rawHeaders ?? null;
      },
      get rawTrailers() {
        return inner.rawTrailers ?? null;
      },
      abort: (reason) => inner.abort(reason),
      pause: () => {
        if (!this.#hasEnded) this.#pause?.pause();
      },
      resume: () => this.#resume(),
    };
  }
}
