/** Server-sent events counted as they pass, without parsing them. */

const EVENT_MARK = Buffer.from("data:");

/** Returns how many events begin in the bytes. */
export function countEvents(bytes: Buffer): number {
  let count = 0;
  let at = bytes.indexOf(EVENT_MARK);
  while (at !== -1) {
    count += 1;
    at = bytes.indexOf(EVENT_MARK, at + EVENT_MARK.length);
  }
  return count;
}
