/** Limits what a server sends besides bodies: heads, chunk sizes, trailers. */

import type { Socket } from "node:net";

/** Four times the longest head that the HTTP client takes (16 KiB). */
const OVERHEAD_LIMIT_BYTES = 64 * 1024;

/** Destroys a socket that carries too many bytes without a part of a body. */
export class OverheadLimit {
  readonly #socket: Socket;
  #lastBodyAt = 0;

  constructor(socket: Socket) {
    this.#socket = socket;
    socket.on("readable", () => this.#check());
  }

  /** Bytes that the HTTP client has taken from the socket. */
  get #consumedBytes(): number {
    return this.#socket.bytesRead - this.#socket.readableLength;
  }

  /** Counts from here: a request starts, or a part of a body has come. */
  restart(): void {
    this.#lastBodyAt = this.#consumedBytes;
  }

  #check(): void {
    if (this.#consumedBytes - this.#lastBodyAt <= OVERHEAD_LIMIT_BYTES) return;
    const message = `No body within ${OVERHEAD_LIMIT_BYTES} bytes of a response`;
    this.#socket.destroy(new Error(message));
  }
}
