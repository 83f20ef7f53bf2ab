/** Counts server-sent events in a byte stream without parsing them. */

const EVENT_MARK = Buffer.from("data:");

/** Returns how many times `data:` occurs in the bytes. */
export function countServerSentEvents(bytes: Buffer): number {
  let count = 0;
  let at = bytes.indexOf(EVENT_MARK);
  while (at !== -1) {
    count += 1;
    at = bytes.indexOf(EVENT_MARK, at + EVENT_MARK.length);
  }
  return count;
}
