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

  /**
   * Adds a value, or what it makes of the last one that isn't consumed.
   *
   * @param join returns both in one; null if they stay apart
   */
  pushJoined(value: T, join: (last: T, value: T) => T | null): void {
    const last = this.#values.at(-1);
    const joined = last === undefined ? null : join(last, value);
    if (joined === null) this.push(value);
    else this.#values.splice(-1, 1, joined);
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
