/** An unbounded queue between a producer and one consuming task. */

/** Hands values to one consumer, in order. */
export class AsyncQueue<T> implements AsyncIterable<T> {
  readonly #values: T[] = [];
  #waiting: (() => void) | null = null;
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

  /** Ends the consumer once the values already added are consumed. */
  close(): void {
    this.#closed = true;
    this.#wake();
  }

  async *[Symbol.asyncIterator](): AsyncIterator<T> {
    for (;;) {
      while (this.#values.length > 0) yield this.#values.shift() as T;
      if (this.#closed) return;
      await new Promise<void>((resolve) => {
        this.#waiting = resolve;
      });
    }
  }

  #wake(): void {
    const resolve = this.#waiting;
    this.#waiting = null;
    resolve?.();
  }
}
