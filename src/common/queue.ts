/** An unbounded queue with a single consumer. */

/** Passes values to one consumer in FIFO order. */
export class AsyncQueue<T> implements AsyncIterable<T> {
  readonly #values: T[] = [];
  #wakeConsumer: (() => void) | null = null;
  #closed = false;

  /** Number of values not yet consumed. */
  get size(): number {
    return this.#values.length;
  }

  /** Adds a value; ignored after `close`. */
  push(value: T): void {
    if (this.#closed) return;
    this.#values.push(value);
    this.#wake();
  }

  /** Ends the iteration once the values already added are consumed. */
  close(): void {
    this.#closed = true;
    this.#wake();
  }

  async *[Symbol.asyncIterator](): AsyncIterator<T> {
    for (;;) {
      while (this.#values.length > 0) yield this.#values.shift() as T;
      if (this.#closed) return;
      await new Promise<void>((resolve) => {
        this.#wakeConsumer = resolve;
      });
    }
  }

  #wake(): void {
    const resolve = this.#wakeConsumer;
    this.#wakeConsumer = null;
    resolve?.();
  }
}
