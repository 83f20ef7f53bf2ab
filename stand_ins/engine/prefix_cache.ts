/** Prefix cache of the stand-in engine. */

const BLOCK_CHARACTERS = 64;
const CHARACTERS_PER_TOKEN = 4;

/** An LRU cache of prompt prefixes in blocks; `limit` is its size in blocks. */
export class PrefixCache {
  readonly #limit: number;
  readonly #blocks = new Map<string, true>();

  constructor(limit: number) {
    this.#limit = limit;
  }

  /** Returns how many tokens of a prompt are cached, then caches its blocks. */
  use(prompt: string): number {
    let cached = 0;
    let hit = true;
    for (let end = BLOCK_CHARACTERS; end <= prompt.length; ) {
      const prefix = prompt.slice(0, end);
      hit = hit && this.#blocks.delete(prefix);
      if (hit) cached = end;
      this.#blocks.set(prefix, true);
      end += BLOCK_CHARACTERS;
    }
    while (this.#blocks.size > this.#limit) {
      const oldest = this.#blocks.keys().next();
      if (oldest.done === true) break;
      this.#blocks.delete(oldest.value);
    }
    return Math.floor(cached / CHARACTERS_PER_TOKEN);
  }
}
