/** Keys of bounded length for ids that peers choose. */

import { createHash } from "node:crypto";

/** Messages between processes hold texts of several times this length. */
const LONGEST_KEY = 256;

/** Returns an id, or a digest of it if it is long. */
export function shortKey(id: string): string {
  if (id.length <= LONGEST_KEY) return id;
  return createHash("sha256").update(id).digest("base64url");
}
