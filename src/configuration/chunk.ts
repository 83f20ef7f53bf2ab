/**
 * Splits a document into content-addressed chunks.
 *
 * A change of one team changes one chunk, so that distributing it costs the
 * list of chunk names and one chunk, whatever the number of teams. A hash of
 * the team's name decides whether a chunk ends there (content-defined
 * chunking), so that inserting a team moves no other boundary.
 */

import { createHash } from "node:crypto";
import type { Document, Team } from "./document.ts";

const MEAN_TEAMS_PER_CHUNK = 64;
/** Base64url characters; 22 hold 132 bits of the hash. */
const CHUNK_NAME_LENGTH = 22;

/** The chunks of a document. */
export interface ChunkList {
  /** First the chunk with all other sections, then the chunks of teams. */
  readonly names: readonly string[];
}

/** A document split into chunks. */
export interface ChunkedDocument {
  readonly list: ChunkList;
  /** Text of each chunk, by name. */
  readonly texts: ReadonlyMap<string, string>;
}

/** Splits a document; `ChunkCache.document` puts it together again. */
export function splitDocument({
  teams,
  ...sections
}: Document): ChunkedDocument {
  const texts = new Map<string, string>();
  const names = [sections, ...groupTeams(teams)].map((chunkContent) => {
    const text = JSON.stringify(chunkContent);
    const name = chunkNameOf(text);
    texts.set(name, text);
    return name;
  });
  return { list: { names }, texts };
}

/** Returns a chunk's name: the start of its text's SHA-256 in base64url. */
export function chunkNameOf(text: string): string {
  const hash = createHash("sha256").update(text).digest("base64url");
  return hash.slice(0, CHUNK_NAME_LENGTH);
}

function groupTeams(teams: readonly Team[]): Team[][] {
  const groups: Team[][] = [];
  let group: Team[] = [];
  for (const team of teams) {
    group.push(team);
    if (!endsChunk(team.name)) continue;
    groups.push(group);
    group = [];
  }
  if (group.length > 0) groups.push(group);
  return groups;
}

function endsChunk(name: string): boolean {
  const hash = createHash("sha256").update(name).digest();
  return hash.readUInt32BE(0) % MEAN_TEAMS_PER_CHUNK === 0;
}
