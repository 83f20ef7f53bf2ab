/** Rendezvous hashing: all routers rank engines alike without messages. */

import { createHash } from "node:crypto";

/** Cache of weights by key and member; hashing dominates the cost. */
const weights = new Map<string, number>();
/** Size of the cache; it is cleared when full, as weights are recomputable. */
const WEIGHTS_LIMIT = 50_000;

const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Returns the members by descending weight: the key's owner is first. */
export function rank<T extends { readonly id: string }>(
  key: string,
  members: readonly T[],
): T[] {
  return sortByWeight(members, (id) => weightOf(key, id));
}

/**
 * Like `rank`, for keys that are used only a few times: it computes a cheaper
 * hash and caches nothing.
 */
export function rankOnce<T extends { readonly id: string }>(
  key: string,
  members: readonly T[],
): T[] {
  const seed = hash(key, FNV_OFFSET_BASIS);
  return sortByWeight(members, (id) => mix(hash(id, seed)));
}

function sortByWeight<T extends { readonly id: string }>(
  members: readonly T[],
  weigh: (id: string) => number,
): T[] {
  return members
    .map((member) => ({ member, weight: weigh(member.id) }))
    .sort((a, b) => b.weight - a.weight)
    .map(({ member }) => member);
}

/** FNV-1a over the code units of a text. */
function hash(text: string, seed: number): number {
  let value = seed;
  for (let index = 0; index < text.length; index += 1)
    value = Math.imul(value ^ text.charCodeAt(index), FNV_PRIME);
  return value;
}

/** Spreads the last characters over all bits; murmur3's finalizer. */
function mix(value: number): number {
  let mixed = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
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
