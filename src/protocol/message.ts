/** The union of all messages between processes of the fleet. */

import type {
  EngineConfiguration,
  EvacuationsReport,
  FirstEventNotice,
  Permit,
  PermitRelease,
  PermitRequest,
  PermitWithdrawal,
  RequestLimitNotice,
  RunningRequest,
  ServerNoticeReport,
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
  UnusedGrant,
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
  KeyQuery,
  KeyUpdate,
  KeyUpdateConfirmation,
} from "./idempotency_messages.ts";
import type { LedgerUpdate } from "./ledger_messages.ts";
import type {
  OriginAnswer,
  OriginNotice,
  OriginQuery,
} from "./origin_messages.ts";
import type {
  CrashReport,
  CrashSyncMessage,
  SoundReport,
  Strike,
  StrikeClearance,
} from "./quarantine_messages.ts";
import type {
  Acknowledgement,
  AttemptFailure,
  AttemptRefusal,
  Cancellation,
  Data,
  DeliveryConfirmation,
  End,
  Head,
  ResumeRequest,
  RunRequest,
} from "./run_messages.ts";

export * from "./admission_messages.ts";
export * from "./configuration_messages.ts";
export * from "./demand_messages.ts";
export * from "./handshake_messages.ts";
export * from "./idempotency_messages.ts";
export * from "./ledger_messages.ts";
export * from "./origin_messages.ts";
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
  | UnusedGrant
  | Availability
  | RunRequest
  | Cancellation
  | Acknowledgement
  | DeliveryConfirmation
  | ResumeRequest
  | AttemptRefusal
  | Head
  | Data
  | End
  | AttemptFailure
  | LedgerUpdate
  | Claim
  | ClaimAnswer
  | KeyUpdate
  | KeyUpdateConfirmation
  | KeyQuery
  | KeyAnswer
  | Strike
  | StrikeClearance
  | CrashReport
  | SoundReport
  | CrashSyncMessage
  | EngineConfiguration
  | PermitRequest
  | RunningRequest
  | PermitWithdrawal
  | FirstEventNotice
  | PermitRelease
  | RequestLimitNotice
  | ServerNoticeReport
  | EvacuationsReport
  | Permit
  | ServerReport
  | OriginNotice
  | OriginQuery
  | OriginAnswer;
