/** Puts received bytes together, at about one byte of memory for each. */

/** Memory that the first bytes take. */
const FIRST_CAPACITY_BYTES = 4 * 1_024;
/** Larger buffers are freed at once instead of at the next garbage collection. */
const LARGEST_PLAIN_BYTES = 64 * 1_024;

/** A resizable buffer; the library of the compiler's target lacks it. */
interface ResizableBuffer extends ArrayBuffer {
  resize(sizeBytes: number): void;
}

type ResizableBufferConstructor = new (
  sizeBytes: number,
  options: { readonly maxByteLength: number },
) => ResizableBuffer;

const createResizable = ArrayBuffer as unknown as ResizableBufferConstructor;

/** Bytes of one body of at most `limitBytes`. */
export class ByteBuffer {
  readonly #limitBytes: number;
  #memory = Buffer.alloc(0);
  #resizable: ResizableBuffer | null = null;
  #sizeBytes = 0;

  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes;
  }

  /** Bytes that were appended. */
  get sizeBytes(): number {
    return this.#sizeBytes;
  }

  /** The bytes; invalid after `free`. */
  get bytes(): Buffer {
    return this.#memory.subarray(0, this.#sizeBytes);
  }

  /** Memory that the buffer has to take for further bytes. */
  capacityFor(addedBytes: number): number {
    const neededBytes = this.#sizeBytes + addedBytes;
    let capacityBytes = Math.max(this.#memory.length, FIRST_CAPACITY_BYTES);
    while (capacityBytes < neededBytes) capacityBytes *= 2;
    return Math.max(neededBytes, Math.min(capacityBytes, this.#limitBytes));
  }

  /** Copies bytes, of which there may be `limitBytes` in all. */
  append(chunk: Buffer): void {
    const capacityBytes = this.capacityFor(chunk.length);
    if (capacityBytes > this.#memory.length) this.#extend(capacityBytes);
    this.#memory.set(chunk, this.#sizeBytes);
    this.#sizeBytes += chunk.length;
  }

  /** Frees the memory at once; what is read from it then is empty. */
  free(): void {
    this.#resizable?.resize(0);
    this.#memory = Buffer.alloc(0);
    this.#sizeBytes = 0;
  }

  #extend(capacityBytes: number): void {
    if (this.#resizable !== null) {
      this.#resizable.resize(capacityBytes);
      this.#memory = Buffer.from(this.#resizable, 0, capacityBytes);
      return;
    }
    const previous = this.bytes;
    if (capacityBytes <= LARGEST_PLAIN_BYTES) {
      this.#memory = Buffer.allocUnsafeSlow(capacityBytes);
    } else {
      const maxByteLength = Math.max(this.#limitBytes, capacityBytes);
      this.#resizable = new createResizable(capacityBytes, { maxByteLength });
      this.#memory = Buffer.from(this.#resizable, 0, capacityBytes);
    }
    this.#memory.set(previous);
  }
}
