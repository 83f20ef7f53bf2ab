/** Long answers, generated only as fast as the client reads them. */

import { createHash } from "node:crypto";
import { once } from "node:events";
import type { ServerResponse } from "node:http";

const CHUNK_BYTES = 64 * 1024;

/** Bytes of long answers that the service has written to its connections. */
export interface Progress {
  writtenBytes: number;
}

/** Writes an answer in chunks; waits for `drain` when the buffer is full. */
export async function writeLongAnswer(
  response: ServerResponse,
  sizeBytes: number,
  progress: Progress,
): Promise<void> {
  response.writeHead(200, { "content-type": "application/octet-stream" });
  for (const chunk of chunks(sizeBytes)) {
    const hasRoom = response.write(chunk);
    progress.writtenBytes += chunk.length;
    if (!hasRoom) await once(response, "drain");
  }
  response.end();
}

/** Returns the SHA-256, in hex, of a long answer of this size. */
export function hashOfLongAnswer(sizeBytes: number): string {
  const hash = createHash("sha256");
  for (const chunk of chunks(sizeBytes)) hash.update(chunk);
  return hash.digest("hex");
}

function* chunks(sizeBytes: number): Iterable<Buffer> {
  for (let offset = 0; offset < sizeBytes; offset += CHUNK_BYTES) {
    const size = Math.min(CHUNK_BYTES, sizeBytes - offset);
    // No two chunks are equal, so the hash reveals a lost or repeated one.
    yield Buffer.alloc(size, `${offset};`);
  }
}
