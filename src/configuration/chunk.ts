/**
 * A document in chunks that are named by their content.
 *
 * A change of one team changes one chunk of teams, so that spreading it costs
 * a list of names and one chunk, whatever the number of teams. Chunks end at
 * teams that a hash chooses: an insertion moves no other boundary.
 */

import { createHash } from "node:crypto";
import type { Document, Team } from "./document.ts";

/** Teams in a chunk, on average. */
const TEAMS_PER_CHUNK = 64;
const NAME_CHARACTERS = 22;

/** Names of a document's chunks: the first holds all but the teams. */
export interface ChunkList {
  readonly names: readonly string[];
}

/** A document cut into chunks. */
export interface ChunkedDocument {
  readonly list: ChunkList;
  /** Text of each chunk, by name. */
  readonly texts: ReadonlyMap<string, string>;
}

/** Cuts a document. */
export function cut({ teams, ...head }: Document): ChunkedDocument {
  const texts = new Map<string, string>();
  const names = [head, ...groups(teams)].map((part) => {
    const text = JSON.stringify(part);
    const name = nameOf(text);
    texts.set(name, text);
    return name;
  });
  return { list: { names }, texts };
}

/** Returns the name that a chunk's text must have. */
export function nameOf(text: string): string {
  const hash = createHash("sha256").update(text).digest("base64url");
  return hash.slice(0, NAME_CHARACTERS);
}

function groups(teams: readonly Team[]): Team[][] {
  const found: Team[][] = [];
  let group: Team[] = [];
  for (const team of teams) {
    group.push(team);
    if (!endsGroup(team.name)) continue;
    found.push(group);
    group = [];
  }
  if (group.length > 0) found.push(group);
  return found;
}

function endsGroup(name: string): boolean {
  const hash = createHash("sha256").update(name).digest();
  return hash.readUInt32BE(0) % TEAMS_PER_CHUNK === 0;
}
