/** Rendezvous hashing: all processes rank alike without communicating. */

import { createHash } from "node:crypto";

/** Returns the members by descending hash score for a key. */
export function rank<T extends { readonly name: string }>(
  members: readonly T[],
  key: string,
): T[] {
  return members
    .map((member) => ({ member, score: score(member.name, key) }))
    .sort((a, b) => (a.score < b.score ? 1 : a.score > b.score ? -1 : 0))
    .map(({ member }) => member);
}

function score(name: string, key: string): bigint {
  return createHash("sha256")
    .update(`${key}\n${name}`)
    .digest()
    .readBigUInt64BE(0);
}
