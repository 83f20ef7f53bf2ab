/** Reads the body of an HTTP response into memory, up to a limit. */

/**
 * Returns the body as text. Closes the connection and rejects once the body is
 * over `limitBytes` long, since a faulty peer may send bytes without end.
 */
export async function readBodyText(
  body: AsyncIterable<Buffer>,
  limitBytes: number,
): Promise<string> {
  const chunks: Buffer[] = [];
  let receivedBytes = 0;
  for await (const chunk of body) {
    receivedBytes += chunk.length;
    if (receivedBytes > limitBytes)
      throw new Error(`Response is over ${limitBytes} bytes long`);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString("utf8");
}
