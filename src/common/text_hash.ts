/** Fast hashes of texts, the same in all processes; not for secrets. */

/** Seed of a hash that doesn't go on from another one. */
export const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** FNV-1a over the code units of a text. */
export function fnv1a(text: string, seed = FNV_OFFSET_BASIS): number {
  let value = seed;
  for (let index = 0; index < text.length; index += 1)
    value = Math.imul(value ^ text.charCodeAt(index), FNV_PRIME);
  return value;
}

/** Spreads the last characters over all 32 bits; murmur3's finalizer. */
export function mix(value: number): number {
  let mixed = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
