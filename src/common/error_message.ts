/** Messages of thrown values. */

/** Returns the message of an error, or the value as text. */
export function messageOf(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}
