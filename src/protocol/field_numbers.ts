/** Integer keys that stand for field names in encoded messages. */

/**
 * Field names in the order of their numbers, from 1. New names go to the end;
 * a change of order is a change of protocol version.
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
] as const;

/** Field names with their numbers. */
export const fieldNumbers: Readonly<Record<string, number>> =
  Object.fromEntries(FIELD_NAMES.map((name, index) => [name, index + 1]));
