/** Hop-by-hop HTTP headers, which are never forwarded. */

/**
 * Names in lower case. The code that forwards requests and the code that
 * forwards responses each add further headers.
 */
export const OF_CONNECTION: readonly string[] = [
  ...["connection", "keep-alive", "te", "trailer"],
  ...["transfer-encoding", "upgrade"],
];
