/** Rendezvous hashing: all routers rank engines alike without messages. */

import { createHash } from "node:crypto";

/** Cache of weights by key and member; hashing dominates the cost. */
const weights = new Map<string, number>();
/** Size of the cache; it is cleared when full, as weights are recomputable. */
const WEIGHTS_LIMIT = 50_000;

/** Returns the members by descending weight: the key's owner is first. */
export function rank<T extends { readonly id: string }>(
  key: string,
  members: readonly T[],
): T[] {
  return members
    .map((member) => ({ member, weight: weightOf(key, member.id) }))
    .sort((a, b) => b.weight - a.weight)
    .map(({ member }) => member);
}

function weightOf(key: string, member: string): number {
  const name = `${key}\n${member}`;
  const known = weights.get(name);
  if (known !== undefined) return known;
  if (weights.size >= WEIGHTS_LIMIT) weights.clear();
  const weight = createHash("md5").update(name).digest().readUInt32BE();
  weights.set(name, weight);
  return weight;
}
