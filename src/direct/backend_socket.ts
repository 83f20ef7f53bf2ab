/** A connection that limits what a server sends besides bodies. */

import { Socket } from "node:net";

/**
 * Limit of heads, chunk sizes and trailers: four times the longest head that the
 * HTTP client takes (16 KiB).
 */
const OVERHEAD_LIMIT_BYTES = 64 * 1024;
/**
 * Many times the lines of a usual head. The HTTP client keeps each line as two
 * objects of some hundred bytes.
 */
export const HEAD_LIMIT_LINES = 256;
const LINE_FEED = 0x0a;

/** Destroys itself once it has carried too much without a part of a body. */
export class BackendSocket extends Socket {
  #lines = 0;
  #bytesAtBody = 0;
  #linesAtBody = 0;

  /** Counts from here: a request starts, or a part of a body has come. */
  restartOverhead(): void {
    this.#bytesAtBody = this.#consumedBytes;
    this.#linesAtBody = this.#lines;
  }

  /**
   * The HTTP client parses what it gets and reads again until nothing is left, so
   * a part of a body in an earlier read has been reported by now. It gets no more
   * lines at once than a head may have: the objects that it makes of them are
   * freed only once the event loop has handled all other connections.
   */
  override read(size?: number): Buffer | null {
    this.#check();
    const bytes: Buffer | null = super.read(size);
    if (bytes === null) return null;
    const { lines, end } = takeLines(bytes, HEAD_LIMIT_LINES);
    this.#lines += lines;
    if (end < bytes.length) this.unshift(bytes.subarray(end));
    return bytes.subarray(0, end);
  }

  /** Bytes that the HTTP client has taken. */
  get #consumedBytes(): number {
    return this.bytesRead - this.readableLength;
  }

  #check(): void {
    if (this.#consumedBytes - this.#bytesAtBody > OVERHEAD_LIMIT_BYTES)
      this.#end(`${OVERHEAD_LIMIT_BYTES} bytes`);
    else if (this.#lines - this.#linesAtBody > HEAD_LIMIT_LINES)
      this.#end(`${HEAD_LIMIT_LINES} lines`);
  }

  #end(amount: string): void {
    const message = `No body within ${amount} of a response`;
    this.destroy(new Error(message));
  }
}

/** Counts lines up to a limit, and finds where the last of them ends. */
function takeLines(
  bytes: Buffer,
  limit: number,
): { readonly lines: number; readonly end: number } {
  let lines = 0;
  let at = bytes.indexOf(LINE_FEED);
  while (at !== -1) {
    lines += 1;
    if (lines === limit) return { lines, end: at + 1 };
    at = bytes.indexOf(LINE_FEED, at + 1);
  }
  return { lines, end: bytes.length };
}
