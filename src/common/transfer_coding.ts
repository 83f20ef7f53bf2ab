/** Which transfer codings of a response are read. */

/**
 * Whether a response has no transfer coding but chunks. Others are for callers
 * that ask for them, and without chunks the end of such a body can't be told.
 *
 * @param coding value of the header `Transfer-Encoding`
 */
export function isReadableCoding(
  coding: string | string[] | undefined,
): boolean {
  return coding === undefined || String(coding).toLowerCase() === "chunked";
}
