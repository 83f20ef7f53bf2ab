/** Joins small pieces of a body: each takes an object, whatever it holds. */

/** Size up to which pieces are joined; beyond it, copying costs more. */
const JOINED_LIMIT_BYTES = 1_024;

/** Returns both pieces in one; null if they are large enough to stay apart. */
export function joinSmall(last: Buffer, next: Buffer): Buffer | null {
  const sizeBytes = last.length + next.length;
  return sizeBytes > JOINED_LIMIT_BYTES ? null : Buffer.concat([last, next]);
}
