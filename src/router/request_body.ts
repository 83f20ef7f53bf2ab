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
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      sizeBytes += chunk.length;
      if (sizeBytes > limitBytes) return tooLong();
      chunks.push(chunk);
    }
  } catch {
    const sentence = "The caller disconnected before its body was complete";
    return err(badRequest(400, "body-cut-off", { sentence }));
  }
  return ok(Buffer.concat(chunks));
}
