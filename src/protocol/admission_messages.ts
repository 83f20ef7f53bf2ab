/** Messages for the admission of requests to one backend server's engine. */

/** Most parts of a prompt in one message. */
export const MAX_PACKED_PARTS = 1_000;

/** A part of a prompt, with its number of tokens. */
export type PackedPart = readonly [id: string, tokens: number];

/** Configuration of a server's engine, as sent by routers. */
export interface EngineConfiguration {
  readonly type: "engine-terms";
  /** Version of the fleet's configuration that these values are from. */
  readonly version: number;
  readonly server: string;
  /** Start of the server, in Unix milliseconds; 0 when it isn't known. */
  readonly startedAtMs: number;
  /** Requests that the engine runs at the same time. */
  readonly slots: number;
  /** Capacity of the KV cache. */
  readonly cacheTokens: number;
  /** Expected prefill rate. */
  readonly tokensPerMs: number;
  /** Absent for a service whose servers are never cold. */
  readonly coldTerms?: ColdTerms;
}

/** What a router knows of a server that is cold for a time after its start. */
export interface ColdTerms {
  /** Time for which it is cold after a start. */
  readonly durationMs: number;
  /** Requests per second from all routers that it tolerates while cold. */
  readonly requestsPerS: number;
  /** Time for which it is still cold, as far as the router knows. */
  readonly remainingMs: number;
  /** Routers of the fleet that the router knows of; 0 if it knows of none. */
  readonly routers: number;
}

/** Pace at which permits for a server are issued. */
export interface ColdPace {
  /** Requests per second of all routers. */
  readonly requestsPerS: number;
  /**
   * Time for which the server is cold; 0 while it counts as warm and its
   * bound on requests in one second holds some back.
   */
  readonly remainingMs: number;
}

/** Requests a permit to send one request to the engine. */
export interface PermitRequest {
  readonly type: "ask";
  /** Number of the request, unique on the router's connection. */
  readonly ask: number;
  readonly team: string;
  /** Recent usage of the team at all other servers. */
  readonly elsewhere: number;
  /** Usage that is charged to the team for the request. */
  readonly cost: number;
  /** Parts of the prompt, in order; prefix caching works by whole parts. */
  readonly parts: readonly PackedPart[];
  /** Tokens of the prompt's prefix that can be copied from another engine. */
  readonly copiedTokens: number;
  /** Expected tokens of the response. */
  readonly outputTokens: number;
  /** Latency objective of such requests, up to the first event. */
  readonly objectiveMs: number;
  /** Time left until the first event is due; below 0 when it is late. */
  readonly leftMs: number;
  /** Longest pause between events that is on time; absent for any. */
  readonly eventGapMs?: number;
}

/** Reports a request that was sent before this connection was opened. */
export interface RunningRequest {
  readonly type: "held";
  readonly ask: number;
  readonly team: string;
  readonly parts: readonly PackedPart[];
  readonly outputTokens: number;
  /** Whether its first event has arrived, so that its prefill has ended. */
  readonly begun: boolean;
  /** Longest pause between events that is on time; absent for any. */
  readonly eventGapMs?: number;
}

/** Withdraws a permit request. */
export interface PermitWithdrawal {
  readonly type: "withdraw";
  readonly ask: number;
}

/** Reports that a request's first event has arrived: its prefill has ended. */
export interface FirstEventNotice {
  readonly type: "begun";
  readonly ask: number;
}

/** Outcome of a permitted request; "neutral" says nothing of the server. */
export type PermitOutcome = "served" | "failed" | "neutral";

/** Returns a permit, because its request has ended or was not sent. */
export interface PermitRelease {
  readonly type: "finished";
  readonly ask: number;
  readonly outcome: PermitOutcome;
  /** Present if a pause between two events was longer than is on time. */
  readonly missedPace?: true;
}

/** Permits a router to send a request. */
export interface Permit {
  readonly type: "permit";
  readonly ask: number;
  /** Prompt tokens that are expected to miss the cache and need prefill. */
  readonly uncachedTokens: number;
}

/** Reports the limit on requests that a response of the server has stated. */
export interface RequestLimitNotice {
  readonly type: "request-limit";
  readonly server: string;
  /** Start of the server, in Unix milliseconds; 0 when it isn't known. */
  readonly startedAtMs: number;
  /** Requests per second from all routers; null if the server has no limit. */
  readonly requestsPerS: number | null;
  /** Time since the request was sent to which the server responded. */
  readonly ageMs: number;
}

/** Reports what a server has said of itself in a response. */
export interface ServerNoticeReport {
  readonly type: "server-notice";
  readonly server: string;
  /** Start of the server, in Unix milliseconds; 0 when it isn't known. */
  readonly startedAtMs: number;
  /** Whether it leaves, or takes no request for a time. */
  readonly notice: "leaving" | "paused";
  /** Rest of the pause in milliseconds; 0 for a server that leaves. */
  readonly remainingMs: number;
}

/** Most emptied zones in one report. */
export const MAX_EVACUATED_ZONES = 256;

/** Reports all emptied zones as of one revision of the store. */
export interface EvacuationsReport {
  readonly type: "evacuations";
  /** How often the store has been restored; 0 if it doesn't state it. */
  readonly era: number;
  readonly revision: number;
  readonly zones: readonly string[];
  /** Time in ms since this was known to be the newest state. */
  readonly ageMs: number;
}

/** A team's recent usage at one server. */
export type TeamUsage = readonly [team: string, usage: number];

/** A part of prompts, and the share of an engine that its requests take. */
export type BusyPart = readonly [id: string, share: number];

/** Load of a server's engine by the requests of all routers. */
export interface ServerReport {
  readonly type: "server-report";
  /** Requests that run. */
  readonly runs: number;
  /** Prompt tokens of running requests that still need prefill. */
  readonly unreadTokens: number;
  /** KV cache tokens that running requests don't share with each other. */
  readonly privateTokens: number;
  /** Requests that wait for a permit. */
  readonly asks: number;
  /** Prompt tokens of waiting requests that would need prefill. */
  readonly askedTokens: number;
  /** Current prefill rate. */
  readonly tokensPerMs: number;
  /** Share of recent requests that the server failed, 0 to 1. */
  readonly failureShare: number;
  /** Limit on requests per second that the server names; null for none. */
  readonly requestsPerS: number | null;
  /** Requests that the limit allows at once; 0 without a limit. */
  readonly freeSlots: number;
  /** Absent unless the server is cold or its requests are held back for that. */
  readonly coldPace?: ColdPace;
  /** Time after which an unused part of a prompt is evicted; null if none was. */
  readonly cacheLifetimeMs: number | null;
  /**
   * Shared parts of prompts whose requests take much of the engine, with that
   * share, 0 to about 1; absent if there are none.
   */
  readonly busyParts?: readonly BusyPart[];
  /** Routers that are connected. */
  readonly routers: number;
  /** Teams whose recent usage has grown; all teams in the first report. */
  readonly teams: readonly TeamUsage[];
}
