/** Quarantine of requests that crash backend servers. */

export type { CrashCause } from "./crash_attribution.ts";
export { CrashBreaker } from "./crash_breaker.ts";
export { CrashEvidence } from "./crash_evidence.ts";
export {
  partSuspect,
  requestSuspect,
  SUSPECTS_LIMIT,
  suspectsOf,
} from "./crash_record.ts";
export { CrashSync } from "./crash_sync.ts";
export { fingerprintOf, Quarantine, type Trust } from "./quarantine.ts";
export { messagesOf } from "./report_messages.ts";
