/** Hop-by-hop HTTP headers, which are never forwarded. */

/**
 * Names in lower case. The code that forwards requests and the code that
 * forwards responses each add further headers.
 */
export const HOP_BY_HOP_HEADERS: readonly string[] = [
  ...["connection", "keep-alive", "te", "trailer"],
  ...["transfer-encoding", "upgrade"],
];
