/** Integer keys that replace field names in encoded messages. */

/**
 * Field names in the order of their numbers, from 1. Append new names at the
 * end; any change of the order needs a new protocol version.
 */
const FIELD_NAMES = [
  ...["type", "attempt", "team", "offset", "bytes", "teams", "attempts"],
  ...["grant", "waiting", "free", "slots", "nextMs", "busy"],
  ...["configurationVersion", "kind", "method", "path", "headers"],
  ...["body", "idempotent", "idempotencyKey", "remainingMs", "costHint"],
  ...["head", "code", "retryAfterMs", "status", "outcome", "sentence"],
  ...["entries", "query"],
  ...["key", "bodyHash", "state", "leaseMs", "answer", "records"],
  ...["runner", "memoryMs", "losses", "crash"],
  ...[
    "fingerprints",
    "fingerprint",
    "version",
    "names",
    "texts",
    "protocolVersion",
  ],
  ...["role", "instance", "incarnation", "availabilityZone", "service"],
  ...["challenge", "proof"],
  ...["ask", "elsewhere", "cost", "parts", "outputTokens", "objectiveMs"],
  ...["leftMs", "begun", "uncachedTokens", "runs", "unreadTokens"],
  ...["privateTokens", "asks", "askedTokens", "tokensPerMs", "routers"],
  ...["cacheTokens", "server", "startedAtMs", "copiedTokens", "failureShare"],
  ...["ageMs", "requests", "suspects", "requestsPerS", "freeSlots"],
  ...["request", "softwareVersion", "cacheLifetimeMs", "notice"],
  ...["cleared", "digest", "digests", "crashes"],
  ...["era", "revision", "zones"],
  ...["coldTerms", "coldPace", "durationMs"],
] as const;

/** Number of each field name. */
export const fieldNumbers: Readonly<Record<string, number>> =
  Object.fromEntries(FIELD_NAMES.map((name, index) => [name, index + 1]));
