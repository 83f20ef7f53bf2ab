/** Reads the body of an HTTP response into memory, up to a limit. */

import { ByteBuffer } from "./byte_buffer.ts";

/**
 * Returns the body as text. Closes the connection and rejects once the body is
 * over `limitBytes` long, since a faulty peer may send bytes without end.
 */
export async function readBodyText(
  body: AsyncIterable<Buffer>,
  limitBytes: number,
): Promise<string> {
  const received = new ByteBuffer(limitBytes);
  for await (const chunk of body) {
    if (received.sizeBytes + chunk.length > limitBytes)
      throw new Error(`Response is over ${limitBytes} bytes long`);
    if (!received.append(chunk))
      throw new Error("There is no memory left for the response");
  }
  const text = received.bytes.toString("utf8");
  received.free();
  return text;
}
