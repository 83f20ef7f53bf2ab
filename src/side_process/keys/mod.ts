/** Ensures at most one run per idempotency key. */

export { Arbiter, type Claimant } from "./arbiter.ts";
export {
  KeyGuard,
  RESPONSE_LIMIT_BYTES,
  type StartDecision,
} from "./key_guard.ts";
export { KeyLeases } from "./key_leases.ts";
export {
  KEY_WINDOW_MS,
  KeyMemory,
  NO_RESPONSE,
  WHOLE_HISTORY_MS,
} from "./key_memory.ts";
export type { PeerKeyClient } from "./peer_key_client.ts";
