/** Maps with several values for a key, most of which have one. */

/** A key with one value takes no set of its own. */
export class MultiMap<Value extends object | string> {
  readonly #values = new Map<string, Value | Set<Value>>();

  /** Number of keys. */
  get size(): number {
    return this.#values.size;
  }

  keys(): Iterable<string> {
    return this.#values.keys();
  }

  has(key: string): boolean {
    return this.#values.has(key);
  }

  /** Returns the values of a key, as they are now. */
  valuesOf(key: string): readonly Value[] {
    const values = this.#values.get(key);
    if (values === undefined) return [];
    return values instanceof Set ? [...values] : [values];
  }

  /** Returns the set of a key's values, which changes with them; null below two. */
  setOf(key: string): ReadonlySet<Value> | null {
    const values = this.#values.get(key);
    return values instanceof Set ? values : null;
  }

  /** Adds a value unless the key has it; returns how many the key has then. */
  add(key: string, value: Value): number {
    const values = this.#values.get(key);
    if (values === undefined || values === value) {
      this.#values.set(key, value);
      return 1;
    }
    const all = values instanceof Set ? values : new Set([values]);
    this.#values.set(key, all.add(value));
    return all.size;
  }

  /** Removes a value of a key; returns how many are left. */
  remove(key: string, value: Value): number {
    const values = this.#values.get(key);
    if (values instanceof Set) {
      values.delete(value);
      if (values.size === 0) this.#values.delete(key);
      return values.size;
    }
    if (values === value) this.#values.delete(key);
    return this.#values.has(key) ? 1 : 0;
  }

  /** Removes a key with all of its values. */
  delete(key: string): void {
    this.#values.delete(key);
  }
}
