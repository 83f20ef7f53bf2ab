/** Writes a response's body in few writes, however small its pieces are. */

import type { ServerResponse } from "node:http";
import { ByteBuffer } from "../common/byte_buffer.ts";

/** Bytes that a caller hasn't taken yet above which the server is paused. */
const HIGH_WATER_BYTES = 16 * 1_024;
/** Pieces that are put together; a server that is paused may send one more. */
const WAITING_LIMIT_BYTES = 2 * HIGH_WATER_BYTES;

/**
 * Puts pieces together while a write is in progress: each write takes some
 * objects, and before a caller that reads nothing they would pile up.
 */
export class BodyWriter {
  readonly #response: ServerResponse;
  readonly #waiting = new ByteBuffer(WAITING_LIMIT_BYTES);
  #writes = 0;
  /** Bytes of writes in progress. */
  #writingBytes = 0;
  #onDrain: (() => void) | null = null;

  constructor(response: ServerResponse) {
    this.#response = response;
  }

  /** Writes bytes; returns false if no more should follow before `onDrain`. */
  write(bytes: Buffer): boolean {
    const waitingBytes = this.#waiting.sizeBytes + bytes.length;
    const mayWait = this.#writes > 0 && waitingBytes <= WAITING_LIMIT_BYTES;
    if (!mayWait || !this.#waiting.append(bytes)) {
      this.#flush();
      this.#send(bytes);
    }
    return this.#writingBytes + this.#waiting.sizeBytes < HIGH_WATER_BYTES;
  }

  /** Calls back once when the caller has taken everything. */
  onDrain(callback: () => void): void {
    this.#onDrain = callback;
  }

  /** Ends the body. */
  end(): void {
    this.#flush();
    this.#response.end();
  }

  #flush(): void {
    if (this.#waiting.sizeBytes === 0) return;
    const bytes = Buffer.from(this.#waiting.bytes);
    this.#waiting.free();
    this.#send(bytes);
  }

  #send(bytes: Buffer): void {
    this.#writes += 1;
    this.#writingBytes += bytes.length;
    this.#response.write(bytes, (error) => {
      this.#writes -= 1;
      this.#writingBytes -= bytes.length;
      // Nothing can be written to a caller that has left.
      if (error == null) this.#handleWritten();
    });
  }

  #handleWritten(): void {
    if (this.#response.writableEnded || this.#writes > 0) return;
    if (this.#waiting.sizeBytes > 0) {
      this.#flush();
      return;
    }
    const callback = this.#onDrain;
    this.#onDrain = null;
    callback?.();
  }
}
