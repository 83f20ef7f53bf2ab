/** One timer for the checks of all connections of a process. */

/**
 * Calls all callbacks at one interval. A process has hundreds of connections,
 * and a timer for each of them would wake it hundreds of times a second.
 */
export class SharedInterval {
  readonly #intervalMs: number;
  readonly #callbacks = new Set<() => void>();
  #timer: NodeJS.Timeout | null = null;

  constructor(intervalMs: number) {
    this.#intervalMs = intervalMs;
  }

  /** Adds a callback; the returned function removes it. */
  add(callback: () => void): () => void {
    this.#callbacks.add(callback);
    this.#timer ??= setInterval(() => this.#callAll(), this.#intervalMs);
    return () => this.#remove(callback);
  }

  #remove(callback: () => void): void {
    this.#callbacks.delete(callback);
    if (this.#callbacks.size > 0 || this.#timer === null) return;
    clearInterval(this.#timer);
    this.#timer = null;
  }

  #callAll(): void {
    for (const callback of [...this.#callbacks]) {
      // An earlier one may have removed it.
      if (this.#callbacks.has(callback)) callback();
    }
  }
}
