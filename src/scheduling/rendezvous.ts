/** Rendezvous hashing: all routers rank members alike without messages. */

import { fnv1a, mix } from "../common/text_hash.ts";

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
  const seed = fnv1a(key);
  const top: Weighted<T>[] = [];
  for (const member of members) {
    const weight = mix(fnv1a(member.id, seed));
    const last = top.at(-1);
    if (top.length === count && last !== undefined && weight <= last.weight)
      continue;
    const index = top.findIndex((other) => other.weight < weight);
    top.splice(index === -1 ? top.length : index, 0, { member, weight });
    if (top.length > count) top.pop();
  }
  return top.map(({ member }) => member);
}
