/**
 * Resets connections whose process ends without running any of its code.
 *
 * The kernel closes the connections of a killed process with a FIN, which marks
 * the end of a response that has neither a length nor chunks. SO_LINGER with a
 * time of 0 s makes it send a reset instead; Node.js has no call for it.
 */

import type { ServerResponse } from "node:http";
import { createRequire } from "node:module";
import type { Socket } from "node:net";
import type * as koffi from "koffi";
import { err, ok, type Result } from "neverthrow";
import { messageOf } from "./error_message.ts";

/** From the headers of Linux; equal on x86-64 and arm64. */
const SOL_SOCKET = 1;
const SO_LINGER = 13;

/** `struct linger` with `l_onoff` and `l_linger` (s). */
const RESET_ON_CLOSE = Buffer.from(new Int32Array([1, 0]).buffer);
const FIN_ON_CLOSE = Buffer.from(new Int32Array([0, 0]).buffer);

/** Returns 0, or -1 if the option can't be set. */
type SetLinger = (descriptor: number, value: Buffer) => number;

let library: Result<SetLinger, string> | null = null;

/**
 * Loads the C library's `setsockopt`, once. Fails if that isn't possible here;
 * responses are then sent without `resetUntilFinished` having an effect.
 */
export function load(): Result<SetLinger, string> {
  library ??= loadLibrary();
  return library;
}

/**
 * Makes the kernel reset a response's connection if it is closed before the
 * whole response has been handed to the kernel. Call it before the head is
 * sent, for responses of which `endsWithConnection` holds.
 */
export function resetUntilFinished(response: ServerResponse): void {
  // Pipelined requests get the connection once the responses before have ended.
  if (response.socket !== null) setLinger(response.socket, RESET_ON_CLOSE);
  else response.once("socket", (socket) => setLinger(socket, RESET_ON_CLOSE));
  // The server's own listener closes the connection.
  response.prependListener("finish", () => {
    if (response.socket !== null) setLinger(response.socket, FIN_ON_CLOSE);
  });
}

/**
 * Whether only the end of its connection marks the end of a response: it has
 * neither a length nor chunks, as for callers that use HTTP/1.0. Its headers
 * must be set, and not sent yet.
 */
export function endsWithConnection(response: ServerResponse): boolean {
  const { useChunkedEncodingByDefault: hasChunks } = response;
  return !hasChunks && !response.hasHeader("content-length");
}

function setLinger(socket: Socket, value: Buffer): void {
  const descriptor = descriptorOf(socket);
  if (descriptor !== null) load().map((set) => set(descriptor, value));
}

/** Null once the socket is closed, when another file may have its number. */
function descriptorOf(socket: Socket): number | null {
  const { _handle: handle } = socket as Socket & {
    readonly _handle?: { readonly fd?: number } | null;
  };
  const descriptor = handle?.fd ?? -1;
  return descriptor < 0 ? null : descriptor;
}

function loadLibrary(): Result<SetLinger, string> {
  if (process.platform !== "linux")
    return err(`SO_LINGER isn't supported on ${process.platform}`);
  try {
    const require = createRequire(import.meta.url);
    const { load: open } = require("koffi") as typeof koffi;
    const setSocketOption = open(null).func(
      "int setsockopt(int, int, int, const void *, unsigned int)",
    );
    return ok((descriptor, value) =>
      setSocketOption(descriptor, SOL_SOCKET, SO_LINGER, value, value.length),
    );
  } catch (error) {
    return err(messageOf(error));
  }
}
