/** Chunks that a process has: those in force and those on their way. */

import type { ChunkList } from "./chunk.ts";
import { nameOf } from "./chunk.ts";

/** Texts by name; what no list needs is dropped. */
export class ChunkCache {
  readonly #texts = new Map<string, string>();

  /** All texts, by name. */
  get texts(): ReadonlyMap<string, string> {
    return this.#texts;
  }

  /** Keeps texts under the names of their content. */
  add(texts: Iterable<string>): void {
    for (const text of texts) this.#texts.set(nameOf(text), text);
  }

  /** Returns the names of a list that are missing. */
  missing({ names }: ChunkList): string[] {
    return names.filter((name) => !this.#texts.has(name));
  }

  /** Returns the texts that are there, of some names. */
  get(names: readonly string[]): string[] {
    return names.flatMap((name) => this.#texts.get(name) ?? []);
  }

  /** Drops what the list does not need. */
  keepOnly({ names }: ChunkList): void {
    const needed = new Set(names);
    for (const name of [...this.#texts.keys()]) {
      if (!needed.has(name)) this.#texts.delete(name);
    }
  }
}
