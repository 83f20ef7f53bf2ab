/** Joins small pieces of a body: each takes an object, whatever it holds. */

/** Size up to which pieces are joined; beyond it, copying costs more. */
const JOINED_LIMIT_BYTES = 1_024;

/** Some bytes of a body, with what else is known of them. */
export interface Piece {
  readonly bytes: Uint8Array;
}

/**
 * Returns the first piece with the bytes of both; null if they are large enough
 * to stay apart.
 */
export function joinSmall<T extends Piece>(
  last: T,
  next: Piece,
): (T & { readonly bytes: Buffer }) | null {
  const sizeBytes = last.bytes.length + next.bytes.length;
  if (sizeBytes > JOINED_LIMIT_BYTES) return null;
  return { ...last, bytes: Buffer.concat([last.bytes, next.bytes]) };
}
