/** Rendezvous hashing: every process picks alike without talking. */

import { createHash } from "node:crypto";

/** Returns the members by falling score for a key. */
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
