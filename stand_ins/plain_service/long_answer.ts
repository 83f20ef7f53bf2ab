/** Long answers, made as fast as their reader takes them. */

import { createHash } from "node:crypto";
import { once } from "node:events";
import type { ServerResponse } from "node:http";

const PIECE_BYTES = 64 * 1024;

/** Bytes that the service has handed to its connection so far. */
export interface Progress {
  writtenBytes: number;
}

/** Writes an answer piece by piece, waiting for the connection to drain. */
export async function writeLongAnswer(
  response: ServerResponse,
  sizeBytes: number,
  progress: Progress,
): Promise<void> {
  response.writeHead(200, { "content-type": "application/octet-stream" });
  for (const piece of pieces(sizeBytes)) {
    const room = response.write(piece);
    progress.writtenBytes += piece.length;
    if (!room) await once(response, "drain");
  }
  response.end();
}

/** Returns the SHA-256 of such an answer, in hex. */
export function hashOfLongAnswer(sizeBytes: number): string {
  const hash = createHash("sha256");
  for (const piece of pieces(sizeBytes)) hash.update(piece);
  return hash.digest("hex");
}

function* pieces(sizeBytes: number): Iterable<Buffer> {
  for (let offset = 0; offset < sizeBytes; offset += PIECE_BYTES) {
    const size = Math.min(PIECE_BYTES, sizeBytes - offset);
    // Differs from piece to piece, so that a lost or doubled one shows.
    yield Buffer.alloc(size, `${offset};`);
  }
}
