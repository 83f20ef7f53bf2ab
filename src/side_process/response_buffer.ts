/** Buffers the part of a response that the caller has not acknowledged. */

import { ByteBuffer } from "../common/byte_buffer.ts";
import { joinSmall } from "../common/small_pieces.ts";
import type { Header } from "../protocol/mod.ts";

/** Unacknowledged bytes above which the server's response is not read on. */
const MAX_UNACKNOWLEDGED_BYTES = 256 * 1024;

/** Status line and headers of a response. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: readonly Header[];
}

/** Bytes of a response's body, and the offset of the first of them. */
export interface Chunk {
  readonly offset: number;
  readonly bytes: Buffer;
}

/** Chunks of a response's body in order, dropped once acknowledged. */
export class ResponseBuffer {
  /** Null until the server has sent it. */
  head: ResponseHead | null = null;
  #chunks: Chunk[] = [];
  #retainLimitBytes = 0;
  #retained: ByteBuffer | null = null;
  #endOffset = 0;
  /** Offset up to which the caller has acknowledged the response. */
  #acknowledged = 0;
  #ended = false;
  #roomWaiters: (() => void)[] = [];

  /** Offset after the last byte received from the server. */
  get endOffset(): number {
    return this.#endOffset;
  }

  /** Whether the server has sent the whole response. */
  get ended(): boolean {
    return this.#ended;
  }

  /** Whether the caller has acknowledged the whole response. */
  get delivered(): boolean {
    return this.#ended && this.#acknowledged >= this.#endOffset;
  }

  /**
   * Retains a copy of the whole body, also of acknowledged bytes, if it is at
   * most `limitBytes` long. Call it before the first `append`.
   */
  retainUpTo(limitBytes: number): void {
    this.#retainLimitBytes = limitBytes;
    this.#retained = new ByteBuffer(limitBytes);
  }

  /** The whole body; null if it is longer than the limit of `retainUpTo`. */
  get retainedBody(): Buffer | null {
    if (this.#endOffset > this.#retainLimitBytes) return null;
    return Buffer.from(this.#retained?.bytes ?? []);
  }

  /** Appends bytes and returns them as a chunk. */
  append(bytes: Buffer): Chunk {
    const chunk = { offset: this.#endOffset, bytes };
    this.#keep(chunk);
    const isRetained = chunk.offset + bytes.length <= this.#retainLimitBytes;
    // Nothing is retained of a response for which there is no memory.
    if (isRetained && this.#retained?.append(bytes) === false)
      this.#retainLimitBytes = -1;
    this.#endOffset += bytes.length;
    return chunk;
  }

  /** Marks the response as complete. */
  end(): void {
    this.#ended = true;
  }

  /** Drops the chunks that end at or before an acknowledged offset. */
  acknowledge(offset: number): void {
    this.#acknowledged = Math.max(this.#acknowledged, offset);
    const firstUnacknowledged = this.#chunks.findIndex(
      (chunk) => chunk.offset + chunk.bytes.length > this.#acknowledged,
    );
    this.#chunks =
      firstUnacknowledged === -1 ? [] : this.#chunks.slice(firstUnacknowledged);
    this.#resolveRoomWaiters();
  }

  /**
   * Returns the bytes from an offset on; null if the offset is beyond the end
   * or if its bytes were acknowledged.
   */
  from(offset: number): Chunk[] | null {
    if (offset < this.#acknowledged || offset > this.#endOffset) return null;
    return this.#chunks
      .filter((chunk) => chunk.offset + chunk.bytes.length > offset)
      .map((chunk) => trimStart(chunk, offset));
  }

  /** Resolves once the unacknowledged bytes are within their limit. */
  async waitForRoom(): Promise<void> {
    while (this.#endOffset - this.#acknowledged > MAX_UNACKNOWLEDGED_BYTES) {
      await new Promise<void>((resolve) => this.#roomWaiters.push(resolve));
    }
  }

  /**
   * Acknowledges the response to its end, because nobody receives it any more.
   * The server's response is then read on without waiting for room.
   */
  discard(): void {
    this.acknowledge(Number.MAX_SAFE_INTEGER);
  }

  #keep(chunk: Chunk): void {
    const last = this.#chunks.at(-1);
    const joined = last === undefined ? null : joinSmall(last, chunk);
    if (joined === null) this.#chunks.push(chunk);
    else this.#chunks.splice(-1, 1, joined);
  }

  #resolveRoomWaiters(): void {
    const waiters = this.#roomWaiters;
    this.#roomWaiters = [];
    for (const resolve of waiters) resolve();
  }
}

function trimStart(chunk: Chunk, offset: number): Chunk {
  if (chunk.offset >= offset) return chunk;
  return { offset, bytes: chunk.bytes.subarray(offset - chunk.offset) };
}
