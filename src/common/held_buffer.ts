/** Received bytes that count as memory which a peer makes a process hold. */

import { ByteBuffer } from "./byte_buffer.ts";
import type { HeldBytes } from "./held_bytes.ts";
import type { Holding, HoldingOptions } from "./holding.ts";

/** Buffers up to this size aren't counted: most are short, and soon empty. */
const UNCOUNTED_BYTES = 4 * 1_024;
const NO_BYTES = Buffer.alloc(0);

/** Whose bytes they are, and how many there may be. */
export interface HeldBufferOptions extends HoldingOptions {
  readonly limitBytes: number;
}

/** What became of bytes: kept, or why they weren't. */
export type Appended = "kept" | "over-limit" | "no-memory";

/**
 * Puts pieces of any size together at about one byte of memory for each byte.
 * Call `free` when it is no longer needed.
 */
export class HeldBuffer {
  readonly #held: HeldBytes;
  readonly #options: HeldBufferOptions;
  readonly #buffer: ByteBuffer;
  #holding: Holding | null = null;

  constructor(held: HeldBytes, options: HeldBufferOptions) {
    this.#held = held;
    this.#options = options;
    this.#buffer = new ByteBuffer(options.limitBytes);
  }

  /** Bytes that are kept. */
  get sizeBytes(): number {
    return this.#buffer.sizeBytes;
  }

  /** Copies bytes, unless there are too many or there is no memory for them. */
  append(bytes: Buffer): Appended {
    if (this.sizeBytes + bytes.length > this.#options.limitBytes)
      return "over-limit";
    const capacityBytes = this.#buffer.capacityFor(bytes.length);
    if (capacityBytes > UNCOUNTED_BYTES) {
      this.#holding ??= this.#held.open(this.#options);
      const isLarger = capacityBytes > this.#holding.bytes;
      if (isLarger && !this.#holding.grow(capacityBytes)) return "no-memory";
      this.#holding.advance(bytes.length);
    }
    return this.#buffer.append(bytes) ? "kept" : "no-memory";
  }

  /** Returns what is kept, followed by further bytes, and keeps nothing. */
  take(further: Buffer = NO_BYTES): Buffer {
    if (this.sizeBytes === 0) return further;
    const bytes = Buffer.concat([this.#buffer.bytes, further]);
    this.free();
    return bytes;
  }

  /** Frees the memory at once; it can be used again. */
  free(): void {
    this.#buffer.free();
    this.#holding?.close();
    this.#holding = null;
  }
}
