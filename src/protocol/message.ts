/**
 * Messages between the system's own processes, each declared once.
 *
 * An `attempt` names one try of one request at one side process. It is unique
 * for an incarnation of a router and never used again, so that a late message
 * can't be taken for another's.
 */

/** Version of the protocol; peers of another version are refused. */
export const PROTOCOL_VERSION = 1;

/** What a process does in the fleet. */
export type Role = "router" | "side-process";

/** Opens a connection, from both ends. */
export interface Hello {
  readonly type: "hello";
  readonly protocolVersion: number;
  readonly role: Role;
  readonly instance: string;
  /** Differs after each start of the process. */
  readonly incarnation: string;
  readonly availabilityZone: string;
  /** Service of a side process; empty for a router. */
  readonly service: string;
  readonly challenge: Uint8Array;
}

/** Shows knowledge of the fleet key over the peer's challenge. */
export interface Proof {
  readonly type: "proof";
  readonly proof: Uint8Array;
}

/** Heartbeat; the next one follows within `nextMs`. */
export interface Heartbeat {
  readonly type: "heartbeat";
  readonly nextMs: number;
  /** Whether the sender waits for something; the receiver beats as fast. */
  readonly busy: boolean;
  readonly configurationVersion: number;
}

/** Says that the sender takes no new work from now on. */
export interface Leaving {
  readonly type: "leaving";
}

/** Asks for the configuration in force at the receiver. */
export interface ConfigurationRequest {
  readonly type: "configuration-request";
}

/** A configuration by the names of its chunks. */
export interface Configuration {
  readonly type: "configuration";
  readonly version: number;
  readonly names: readonly string[];
}

/** Asks for chunks of a configuration. */
export interface ChunksRequest {
  readonly type: "chunks-request";
  readonly names: readonly string[];
}

/** Chunks of a configuration, as JSON texts. */
export interface Chunks {
  readonly type: "chunks";
  readonly texts: readonly string[];
}

/** How many requests of a team wait at a router, and the oldest's age. */
export type TeamDemand = readonly [
  team: string,
  count: number,
  oldestAgeMs: number,
];

/** Says what has changed in a router's waiting requests. */
export interface Demand {
  readonly type: "demand";
  readonly teams: readonly TeamDemand[];
}

/** Offers a slot to a team's waiting requests at one router. */
export interface Grant {
  readonly type: "grant";
  readonly grant: number;
  readonly team: string;
}

/** Returns a grant for which no request waits. */
export interface GrantUnused {
  readonly type: "grant-unused";
  readonly grant: number;
  readonly team: string;
  readonly waiting: number;
}

/** Says that the sender has free slots and no backlog. */
export interface Availability {
  readonly type: "availability";
  readonly free: number;
  readonly slots: number;
}

/** One header line. */
export type Header = readonly [name: string, value: string];

/** Asks a side process to run a request. */
export interface Run {
  readonly type: "run";
  readonly attempt: string;
  /** The grant that it binds; 0 for a request sent without one. */
  readonly grant: number;
  readonly team: string;
  readonly kind: string;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  readonly idempotent: boolean;
  /** Empty when the caller gave none. */
  readonly idempotencyKey: string;
  readonly remainingMs: number;
  /** The caller's estimate in cost units; 0 when it gave none. */
  readonly costHint: number;
  /** Requests of the team that still wait at the router. */
  readonly waiting: number;
}

/** Ends an attempt whose answer nobody waits for. */
export interface Cancel {
  readonly type: "cancel";
  readonly attempt: string;
}

/** Says up to which offset the caller has the answer. */
export interface Acknowledge {
  readonly type: "acknowledge";
  readonly attempt: string;
  readonly offset: number;
}

/** Says which whole answers have reached their callers. */
export interface Delivered {
  readonly type: "delivered";
  readonly attempts: readonly string[];
}

/** Asks, on a new connection, for an answer from an offset on. */
export interface Resume {
  readonly type: "resume";
  readonly attempt: string;
  readonly offset: number;
  /** Whether the head of the answer has arrived. */
  readonly head: boolean;
}

/** Says that an attempt did not run and will not. */
export interface Refused {
  readonly type: "refused";
  readonly attempt: string;
  readonly code: RefusalCode;
  readonly retryAfterMs: number;
}

/** Why an attempt did not run. */
export type RefusalCode =
  | "busy"
  | "leaving"
  | "unknown-attempt"
  | "deadline"
  | "quarantined";

/** Status line and headers of an answer. */
export interface Head {
  readonly type: "head";
  readonly attempt: string;
  readonly status: number;
  readonly headers: readonly Header[];
}

/** A piece of an answer's body. */
export interface Data {
  readonly type: "data";
  readonly attempt: string;
  readonly offset: number;
  readonly bytes: Uint8Array;
}

/** Ends a whole answer of `offset` bytes. */
export interface End {
  readonly type: "end";
  readonly attempt: string;
  readonly offset: number;
}

/** What is known of an attempt that gave no whole answer. */
export type FailedOutcome = "not-run" | "unknown" | "ran";

/** Ends an attempt without a whole answer. */
export interface Failed {
  readonly type: "failed";
  readonly attempt: string;
  readonly outcome: FailedOutcome;
  readonly code: string;
  readonly sentence: string;
  readonly retryAfterMs: number;
}

/** One team's state in the shared ledger; amounts in 1/16 of a unit. */
export type PackedEntry = readonly [
  team: string,
  epoch: number,
  level: number,
  charged: number,
  refunded: number,
  waiting: boolean,
  /** Process whose counters these are; empty for the sender. */
  origin: string,
];

/** Spreads counters between side processes of one service. */
export interface Counters {
  readonly type: "counters";
  readonly entries: readonly PackedEntry[];
}

/** Asks the arbiter of a key to let an attempt start. */
export interface Claim {
  readonly type: "claim";
  readonly query: number;
  readonly key: string;
  readonly attempt: string;
  readonly bodyHash: string;
}

/** What the arbiter knows of a key. */
export type ClaimState =
  | "go"
  | "running"
  | "answered"
  | "unknown"
  | "mismatch"
  | "not-arbiter";

/** Answers a claim. */
export interface ClaimAnswer {
  readonly type: "claim-answer";
  readonly query: number;
  readonly state: ClaimState;
  /** How long the lease holds, counted from when the claim was sent. */
  readonly leaseMs: number;
  /** Stored answer of a key that was answered. */
  readonly answer: StoredAnswer;
}

/** An answer as it is kept for repeats. */
export interface StoredAnswer {
  /** 0 when the answer was too long to keep. */
  readonly status: number;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
}

/** How a keyed request stands. */
export type KeyState = "running" | "answered" | "not-run" | "unknown";

/** What a side process remembers of a key. */
export interface KeyRecord {
  readonly key: string;
  readonly attempt: string;
  readonly bodyHash: string;
  readonly state: KeyState;
  /** Incarnation of the side process that runs or ran it. */
  readonly runner: string;
  readonly answer: StoredAnswer;
}

/** Hands records over; answered if `query` is not 0. */
export interface KeyUpdate {
  readonly type: "key-update";
  readonly query: number;
  readonly records: readonly KeyRecord[];
  /** How far back the sender's memory reaches, if all of it is handed over. */
  readonly memoryMs: number;
}

/** Says that a key update is kept. */
export interface KeyKept {
  readonly type: "key-kept";
  readonly query: number;
}

/** Asks a side process what it knows of a key. */
export interface KeyQuery {
  readonly type: "key-query";
  readonly query: number;
  readonly key: string;
}

/** Answers a key query. */
export interface KeyAnswer {
  readonly type: "key-answer";
  readonly query: number;
  /** Empty when nothing is known. */
  readonly records: readonly KeyRecord[];
  readonly memoryMs: number;
  /** Side processes that ended without handing their keys over. */
  readonly losses: number;
}

/** Says that requests ran in a backend server when it crashed. */
export interface Strike {
  readonly type: "strike";
  /** Name of the crash; a repeat of it counts once. */
  readonly crash: string;
  readonly fingerprints: readonly string[];
}

/** Says that a suspected request ended without a crash. */
export interface Clear {
  readonly type: "clear";
  readonly fingerprint: string;
}

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
  | Clear;
