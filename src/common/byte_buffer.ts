/** Puts received bytes together, at about one byte of memory for each. */

/** Memory that the first bytes take. */
const FIRST_CAPACITY_BYTES = 4 * 1_024;
/** Larger buffers are freed at once instead of at the next garbage collection. */
const LARGEST_PLAIN_BYTES = 64 * 1_024;

/**
 * Address space that a large buffer reserves, in times of its memory, so that it
 * grows without being copied. It is no memory until bytes come.
 */
const RESERVED_FACTOR = 8;

/** A resizable buffer; the library of the compiler's target lacks it. */
interface ResizableBuffer extends ArrayBuffer {
  readonly maxByteLength: number;
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
    this.#limitBytes = Math.floor(limitBytes);
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

  /**
   * Copies bytes, of which there may be `limitBytes` in all. Returns false and
   * copies nothing if the runtime has no memory for them, or has no buffers of
   * that size.
   */
  append(chunk: Buffer): boolean {
    const capacityBytes = this.capacityFor(chunk.length);
    if (capacityBytes > this.#memory.length && !this.#extend(capacityBytes))
      return false;
    this.#memory.set(chunk, this.#sizeBytes);
    this.#sizeBytes += chunk.length;
    return true;
  }

  /** Frees the memory at once; what is read from it then is empty. */
  free(): void {
    this.#resizable?.resize(0);
    this.#resizable = null;
    this.#memory = Buffer.alloc(0);
    this.#sizeBytes = 0;
  }

  #extend(capacityBytes: number): boolean {
    try {
      if (capacityBytes <= LARGEST_PLAIN_BYTES) {
        const memory = Buffer.allocUnsafeSlow(capacityBytes);
        memory.set(this.bytes);
        this.#memory = memory;
      } else this.#extendResizable(capacityBytes);
      return true;
    } catch {
      return false;
    }
  }

  #extendResizable(capacityBytes: number): void {
    const current = this.#resizable;
    if (current !== null && capacityBytes <= current.maxByteLength) {
      current.resize(capacityBytes);
      this.#memory = Buffer.from(current, 0, capacityBytes);
      return;
    }
    const next = createReserved(capacityBytes, this.#limitBytes);
    const memory = Buffer.from(next, 0, capacityBytes);
    memory.set(this.bytes);
    this.#memory = memory;
    this.#resizable = next;
    current?.resize(0);
  }
}

/** Throws if there is no address space for it. */
function createReserved(
  capacityBytes: number,
  limitBytes: number,
): ResizableBuffer {
  const wanted = Math.min(capacityBytes * RESERVED_FACTOR, limitBytes);
  const sizes = [Math.max(wanted, capacityBytes), capacityBytes];
  for (const maxByteLength of sizes) {
    try {
      return new createResizable(capacityBytes, { maxByteLength });
    } catch {
      // Without room to grow it may still fit.
    }
  }
  throw new RangeError(`No buffer of ${capacityBytes} bytes`);
}
