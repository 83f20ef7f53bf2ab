/** Reads the bodies of callers' requests. */

import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { badRequest, type Failure } from "./failure.ts";

/** Returns the body; fails if it is longer than `limitBytes` or is cut off. */
export async function readBody(
  request: IncomingMessage,
  limitBytes: number,
): Promise<Result<Buffer, Failure>> {
  const tooLong = () => {
    const sentence = `Body is longer than ${limitBytes} bytes`;
    return err(badRequest(413, "body-too-long", { sentence }));
  };
  if (Number(request.headers["content-length"] ?? 0) > limitBytes) {
    return tooLong();
  }
  const pieces: Buffer[] = [];
  let sizeBytes = 0;
  try {
    for await (const piece of request as AsyncIterable<Buffer>) {
      sizeBytes += piece.length;
      if (sizeBytes > limitBytes) return tooLong();
      pieces.push(piece);
    }
  } catch {
    const sentence = "The caller disconnected before its body was complete";
    return err(badRequest(400, "body-cut-off", { sentence }));
  }
  return ok(Buffer.concat(pieces));
}
