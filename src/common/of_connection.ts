/** Headers that concern one HTTP connection and are never passed on. */

/** Their names, in lower case; each direction adds some of its own. */
export const OF_CONNECTION: readonly string[] = [
  ...["connection", "keep-alive", "te", "trailer"],
  ...["transfer-encoding", "upgrade"],
];
