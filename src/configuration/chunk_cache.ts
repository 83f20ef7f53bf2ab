/** Cache of the configuration chunks that a process has received. */

import { err, ok, type Result } from "neverthrow";
import { messageOf } from "../common/error_message.ts";
import type { Finding } from "../common/finding.ts";
import type { Schema } from "../common/schema.ts";
import { type ChunkList, chunkNameOf } from "./chunk.ts";
import type { Document, Team } from "./document.ts";
import { sectionsSchema, teamsSchema } from "./document_schema.ts";

interface CachedChunk {
  readonly text: string;
  /** Undefined until checked; shared by all versions with this chunk. */
  parsed: unknown;
}

/** Chunks by name, each parsed and checked against its schema only once. */
export class ChunkCache {
  readonly #chunks = new Map<string, CachedChunk>();

  /** Adds texts, named by their content. */
  add(texts: Iterable<string>): void {
    for (const text of texts) {
      const name = chunkNameOf(text);
      if (this.#chunks.has(name)) continue;
      this.#chunks.set(name, { text, parsed: undefined });
    }
  }

  /** Returns the names in a list of which the chunk is not cached. */
  missing({ names }: ChunkList): string[] {
    return names.filter((name) => !this.#chunks.has(name));
  }

  /** Returns the texts of those named chunks that are cached. */
  get(names: readonly string[]): string[] {
    return names.flatMap((name) => this.#chunks.get(name)?.text ?? []);
  }

  /**
   * Returns the document of a list, or the first chunk's finding when a chunk
   * is missing or does not match its schema.
   */
  document({ names }: ChunkList): Result<Document, Finding[]> {
    const [first = "", ...rest] = names;
    const sections = this.#parsedChunk(first, sectionsSchema);
    if (sections.isErr()) return err(sections.error);
    const teams: Team[] = [];
    for (const name of rest) {
      const teamGroup = this.#parsedChunk(name, teamsSchema);
      if (teamGroup.isErr()) return err(teamGroup.error);
      for (const team of teamGroup.value) teams.push(team);
    }
    return ok({ ...sections.value, teams });
  }

  /** Removes all chunks that are not in the list. */
  retainOnly({ names }: ChunkList): void {
    const needed = new Set(names);
    for (const name of [...this.#chunks.keys()]) {
      if (!needed.has(name)) this.#chunks.delete(name);
    }
  }

  #parsedChunk<T>(name: string, schema: Schema<T>): Result<T, Finding[]> {
    const chunk = this.#chunks.get(name);
    if (chunk === undefined) return err([chunkFinding(name, "is missing")]);
    if (chunk.parsed !== undefined) return ok(chunk.parsed as T);
    const checked = parseJson(name, chunk.text).andThen((content) =>
      schema.check(content),
    );
    if (checked.isOk()) chunk.parsed = checked.value;
    return checked;
  }
}

function parseJson(name: string, text: string): Result<unknown, Finding[]> {
  try {
    return ok(JSON.parse(text));
  } catch (error) {
    return err([chunkFinding(name, `is not JSON: ${messageOf(error)}`)]);
  }
}

function chunkFinding(chunk: string, message: string): Finding {
  return { path: "", line: null, message: `Chunk ${chunk} ${message}` };
}
