/** Parses JSON of peers that may send far more values than is sound. */

import { err, ok, type Result } from "neverthrow";
import { messageOf } from "./error_message.ts";

/** Each value but the outermost, and each name, follows one of these. */
const VALUE_MARKS = new Set([..."[{,:"].map((mark) => mark.charCodeAt(0)));

/** Limits of one text. */
export interface JsonLimits {
  /**
   * Most values, names of members included: a value of two bytes of text may
   * take over fifty of memory.
   */
  readonly values: number;
}

/**
 * Returns the value; fails with a message if the text is malformed, or if it may
 * hold more values than its limit.
 */
export function parseBoundedJson(
  text: string,
  { values }: JsonLimits,
): Result<unknown, string> {
  if (!isWithin(text, values)) return err(`JSON has over ${values} values`);
  try {
    return ok(JSON.parse(text));
  } catch (error) {
    return err(messageOf(error));
  }
}

/** Marks within strings count, too: this bounds the values from above. */
function isWithin(text: string, values: number): boolean {
  // Even if it consisted of marks; as good as all texts are this short.
  if (text.length < values) return true;
  let marks = 1;
  for (let at = 0; at < text.length && marks <= values; at += 1)
    if (VALUE_MARKS.has(text.charCodeAt(at))) marks += 1;
  return marks <= values;
}
