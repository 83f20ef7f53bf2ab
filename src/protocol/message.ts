/** The union of all messages between processes of the fleet. */

import type {
  EngineTerms,
  FirstEventNotice,
  Held,
  Permit,
  PermitRelease,
  PermitRequest,
  PermitWithdrawal,
  ServerReport,
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
import type {
  Heartbeat,
  Hello,
  LeavingNotice,
  Proof,
} from "./handshake_messages.ts";
import type {
  Claim,
  ClaimAnswer,
  KeyAnswer,
  KeyKept,
  KeyQuery,
  KeyUpdate,
} from "./idempotency_messages.ts";
import type { LedgerUpdate } from "./ledger_messages.ts";
import type { Strike, StrikeClearance } from "./quarantine_messages.ts";
import type {
  Acknowledgement,
  Cancellation,
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
export * from "./idempotency_messages.ts";
export * from "./ledger_messages.ts";
export * from "./quarantine_messages.ts";
export * from "./run_messages.ts";

/** Any message of the protocol. */
export type Message =
  | Hello
  | Proof
  | Heartbeat
  | LeavingNotice
  | ConfigurationRequest
  | Configuration
  | ChunksRequest
  | Chunks
  | Demand
  | Grant
  | GrantUnused
  | Availability
  | Run
  | Cancellation
  | Acknowledgement
  | Delivered
  | Resume
  | Refused
  | Head
  | Data
  | End
  | Failed
  | LedgerUpdate
  | Claim
  | ClaimAnswer
  | KeyUpdate
  | KeyKept
  | KeyQuery
  | KeyAnswer
  | Strike
  | StrikeClearance
  | EngineTerms
  | PermitRequest
  | Held
  | PermitWithdrawal
  | FirstEventNotice
  | PermitRelease
  | Permit
  | ServerReport;
