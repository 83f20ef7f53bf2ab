/** Cuts a byte stream into frames: a four-byte length, then the payload. */

import { err, ok, type Result } from "neverthrow";

/** Bytes of the length in front of each frame. */
export const LENGTH_BYTES = 4;

/** A frame that is longer than the limit. */
export interface FrameTooLong {
  readonly type: "frame-too-long";
  readonly sizeBytes: number;
}

/** Collects pieces until frames are whole. */
export class FrameDecoder {
  readonly #limitBytes: number;
  #rest: Buffer = Buffer.alloc(0);

  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes;
  }

  /** Takes a piece and returns the payloads that are now whole. */
  push(piece: Buffer): Result<Buffer[], FrameTooLong> {
    this.#rest =
      this.#rest.length === 0 ? piece : Buffer.concat([this.#rest, piece]);
    const payloads: Buffer[] = [];
    while (this.#rest.length >= LENGTH_BYTES) {
      const sizeBytes = this.#rest.readUInt32BE(0);
      if (sizeBytes > this.#limitBytes) {
        return err({ type: "frame-too-long", sizeBytes });
      }
      const endBytes = LENGTH_BYTES + sizeBytes;
      if (this.#rest.length < endBytes) break;
      payloads.push(this.#rest.subarray(LENGTH_BYTES, endBytes));
      this.#rest = this.#rest.subarray(endBytes);
    }
    return ok(payloads);
  }
}
