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

  /** Lets the client read on, at once. */
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
  let controller: Controller | null = null;
  const wrap = (inner: Controller) => {
    controller ??= wrapController(inner, currentPause());
    return controller;
  };
  return {
    onRequestStart: (inner, context) =>
      handler.onRequestStart?.(wrap(inner), context),
    onRequestUpgrade: (inner, ...rest) =>
      handler.onRequestUpgrade?.(wrap(inner), ...rest),
    onResponseStart: (inner, ...rest) =>
      handler.onResponseStart?.(wrap(inner), ...rest),
    onResponseData: (inner, chunk) =>
      handler.onResponseData?.(wrap(inner), chunk),
    onResponseEnd: (inner, trailers) =>
      handler.onResponseEnd?.(wrap(inner), trailers),
    onResponseError: (inner, error) =>
      handler.onResponseError?.(wrap(inner), error),
  };
}

function wrapController(inner: Controller, pause: ReadPause): Controller {
  return {
    get aborted() {
      return inner.aborted;
    },
    get paused() {
      return pause.isPaused;
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
    pause: () => pause.pause(),
    resume: () => pause.resume(),
  };
}
