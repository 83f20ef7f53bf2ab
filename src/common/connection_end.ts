/** How the peer of a connection has ended it. */

import type { Socket } from "node:net";

const NO_BYTES = Buffer.alloc(0);
/** A reset after the peer's FIN; everything that it sent has arrived. */
const RESET_AFTER_FIN = "EPIPE";

/**
 * Returns the error by which a connection has ended; null after the peer's FIN.
 * Call it in a listener for `end` that runs before the socket's own.
 *
 * libuv reports a reset that it reads together with data as the end of the data
 * and leaves the error in the kernel, which returns it on the next call. A write
 * of no bytes is such a call, and sends nothing.
 */
export function errorAtEnd(socket: Socket): Error | null {
  // A write that waits behind others returns nothing before undici takes the
  // response for complete.
  if (socket.writableLength > 0)
    return new Error("The connection ended before the request was sent");
  socket.write(NO_BYTES);
  const error: NodeJS.ErrnoException | null = socket.errored;
  return error?.code === RESET_AFTER_FIN ? null : error;
}

/** Whether a connection was ended by an error so far. */
export interface ConnectionEnd {
  /** Null while it is open, and after the peer's FIN. */
  readonly error: Error | null;
}

/**
 * Records the error that ends a connection. Call it before an HTTP client gets
 * the socket: undici takes some resets for the end of a response, whether it reads
 * them by themselves, which is an error event, or together with data.
 */
export function watchEnd(socket: Socket): ConnectionEnd {
  const end: { error: Error | null } = { error: null };
  socket.prependListener("error", (error) => {
    end.error ??= error;
  });
  socket.prependListener("end", () => {
    end.error ??= errorAtEnd(socket);
  });
  return end;
}
