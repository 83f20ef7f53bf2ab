/** Chunks that a process has: those in force and those on their way. */

import { err, ok, type Result } from "neverthrow";
import { messageOf } from "../common/error_message.ts";
import type { Finding } from "../common/finding.ts";
import type { Schema } from "../common/schema.ts";
import { type ChunkList, nameOf } from "./chunk.ts";
import type { Document, Team } from "./document.ts";
import { headSchema, teamsSchema } from "./document_schema.ts";

interface Chunk {
  readonly text: string;
  /** Parsed and checked once, then shared by all versions that have it. */
  part: unknown;
}

/** Chunks by name; what no list needs is dropped. */
export class ChunkCache {
  readonly #chunks = new Map<string, Chunk>();

  /** Keeps texts under the names of their content. */
  add(texts: Iterable<string>): void {
    for (const text of texts) {
      const name = nameOf(text);
      if (this.#chunks.has(name)) continue;
      this.#chunks.set(name, { text, part: undefined });
    }
  }

  /** Returns the names of a list that are missing. */
  missing({ names }: ChunkList): string[] {
    return names.filter((name) => !this.#chunks.has(name));
  }

  /** Returns the texts that are there, of some names. */
  get(names: readonly string[]): string[] {
    return names.flatMap((name) => this.#chunks.get(name)?.text ?? []);
  }

  /** Returns the document of a list if every chunk is there and well shaped. */
  document({ names }: ChunkList): Result<Document, Finding[]> {
    const [first = "", ...rest] = names;
    const head = this.#part(first, headSchema);
    if (head.isErr()) return err(head.error);
    const teams: Team[] = [];
    for (const name of rest) {
      const group = this.#part(name, teamsSchema);
      if (group.isErr()) return err(group.error);
      for (const team of group.value) teams.push(team);
    }
    return ok({ ...head.value, teams });
  }

  /** Drops what the list does not need. */
  keepOnly({ names }: ChunkList): void {
    const needed = new Set(names);
    for (const name of [...this.#chunks.keys()]) {
      if (!needed.has(name)) this.#chunks.delete(name);
    }
  }

  #part<T>(name: string, schema: Schema<T>): Result<T, Finding[]> {
    const chunk = this.#chunks.get(name);
    if (chunk === undefined) return err([finding(name, "is missing")]);
    if (chunk.part !== undefined) return ok(chunk.part as T);
    const checked = parse(name, chunk.text).andThen((part) =>
      schema.check(part),
    );
    if (checked.isOk()) chunk.part = checked.value;
    return checked;
  }
}

function parse(name: string, text: string): Result<unknown, Finding[]> {
  try {
    return ok(JSON.parse(text));
  } catch (error) {
    return err([finding(name, `is not JSON: ${messageOf(error)}`)]);
  }
}

function finding(chunk: string, message: string): Finding {
  return { path: "", line: null, message: `Chunk ${chunk} ${message}` };
}
