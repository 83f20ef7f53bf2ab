/** Messages between the system's own processes, each declared once. */

import type {
  Ask,
  Begun,
  EngineTerms,
  Finished,
  Held,
  Permit,
  ServerReport,
  Withdraw,
} from "./admission_messages.ts";
import type {
  Chunks,
  ChunksRequest,
  Configuration,
  ConfigurationRequest,
} from "./configuration_messages.ts";
import type {
  Availability,
  Demand,
  Grant,
  GrantUnused,
} from "./demand_messages.ts";
import type { Heartbeat, Hello, Leaving, Proof } from "./handshake_messages.ts";
import type {
  Claim,
  ClaimAnswer,
  KeyAnswer,
  KeyKept,
  KeyQuery,
  KeyUpdate,
} from "./keys_messages.ts";
import type { Counters } from "./ledger_messages.ts";
import type { Clear, Strike } from "./quarantine_messages.ts";
import type {
  Acknowledge,
  Cancel,
  Data,
  Delivered,
  End,
  Failed,
  Head,
  Refused,
  Resume,
  Run,
} from "./run_messages.ts";

export * from "./admission_messages.ts";
export * from "./configuration_messages.ts";
export * from "./demand_messages.ts";
export * from "./handshake_messages.ts";
export * from "./keys_messages.ts";
export * from "./ledger_messages.ts";
export * from "./quarantine_messages.ts";
export * from "./run_messages.ts";

/** Every message. */
export type Message =
  | Hello
  | Proof
  | Heartbeat
  | Leaving
  | ConfigurationRequest
  | Configuration
  | ChunksRequest
  | Chunks
  | Demand
  | Grant
  | GrantUnused
  | Availability
  | Run
  | Cancel
  | Acknowledge
  | Delivered
  | Resume
  | Refused
  | Head
  | Data
  | End
  | Failed
  | Counters
  | Claim
  | ClaimAnswer
  | KeyUpdate
  | KeyKept
  | KeyQuery
  | KeyAnswer
  | Strike
  | Clear
  | EngineTerms
  | Ask
  | Held
  | Withdraw
  | Begun
  | Finished
  | Permit
  | ServerReport;
