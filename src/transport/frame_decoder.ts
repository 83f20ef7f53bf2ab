/** Splits a byte stream into frames: a four-byte length, then the payload. */

import { err, ok, type Result } from "neverthrow";

/** Size of the length field, a big-endian integer. */
export const LENGTH_BYTES = 4;

/** The length field of a frame exceeds the limit. */
export interface FrameTooLong {
  readonly type: "frame-too-long";
  readonly sizeBytes: number;
}

/** Buffers received bytes until frames are complete. */
export class FrameDecoder {
  readonly #maxPayloadBytes: number;
  #buffered: Buffer = Buffer.alloc(0);

  constructor(maxPayloadBytes: number) {
    this.#maxPayloadBytes = maxPayloadBytes;
  }

  /** Adds received bytes and returns the payloads that are now complete. */
  push(chunk: Buffer): Result<Buffer[], FrameTooLong> {
    this.#buffered =
      this.#buffered.length === 0
        ? chunk
        : Buffer.concat([this.#buffered, chunk]);
    const payloads: Buffer[] = [];
    while (this.#buffered.length >= LENGTH_BYTES) {
      const sizeBytes = this.#buffered.readUInt32BE(0);
      if (sizeBytes > this.#maxPayloadBytes) {
        return err({ type: "frame-too-long", sizeBytes });
      }
      const endBytes = LENGTH_BYTES + sizeBytes;
      if (this.#buffered.length < endBytes) break;
      payloads.push(this.#buffered.subarray(LENGTH_BYTES, endBytes));
      this.#buffered = this.#buffered.subarray(endBytes);
    }
    return ok(payloads);
  }
}
