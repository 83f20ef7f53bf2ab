/** Rendezvous hashing: all routers rank members alike without messages. */

const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** A member and its weight for the key. */
interface Weighted<T> {
  readonly member: T;
  readonly weight: number;
}

/**
 * Returns the `count` members with the greatest weights for a key, by descending
 * weight: the key's owner is first.
 *
 * Called for every request, with dozens of members: nothing is sorted or cached
 * beyond the members that are returned.
 */
export function topRanked<T extends { readonly id: string }>(
  key: string,
  members: readonly T[],
  count: number,
): T[] {
  const seed = hash(key, FNV_OFFSET_BASIS);
  const top: Weighted<T>[] = [];
  for (const member of members) {
    const weight = mix(hash(member.id, seed));
    const last = top.at(-1);
    if (top.length === count && last !== undefined && weight <= last.weight)
      continue;
    const index = top.findIndex((other) => other.weight < weight);
    top.splice(index === -1 ? top.length : index, 0, { member, weight });
    if (top.length > count) top.pop();
  }
  return top.map(({ member }) => member);
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
