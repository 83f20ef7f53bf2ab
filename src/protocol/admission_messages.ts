/** Messages by which routers ask to send requests to one backend server. */

/** A part of a prompt and its tokens. */
export type PackedPart = readonly [id: string, tokens: number];

/** What operators configure of a server's engine. */
export interface EngineTerms {
  readonly type: "engine-terms";
  /** Version of the configuration that holds them. */
  readonly version: number;
  readonly server: string;
  /** Unix milliseconds of the server's start; 0 when it isn't known. */
  readonly startedAtMs: number;
  readonly slots: number;
  /** Tokens that the KV cache holds. */
  readonly cacheTokens: number;
  /** Tokens a millisecond that the engine is expected to read. */
  readonly tokensPerMs: number;
}

/** Asks for a permit to send one request. */
export interface Ask {
  readonly type: "ask";
  /** Unique at the router's connection. */
  readonly ask: number;
  readonly team: string;
  /** Recent service of the team at all other servers. */
  readonly elsewhere: number;
  /** Service that the request takes. */
  readonly cost: number;
  readonly parts: readonly PackedPart[];
  /** Tokens at the prompt's head that the engine can copy from another one. */
  readonly copiedTokens: number;
  readonly outputTokens: number;
  /** Time that a request of its kind may take to its first event. */
  readonly objectiveMs: number;
  /** Time until the caller counts on its first event; below 0 once late. */
  readonly leftMs: number;
}

/** A request that was sent before the connection was opened. */
export interface Held {
  readonly type: "held";
  readonly ask: number;
  readonly team: string;
  readonly parts: readonly PackedPart[];
  readonly outputTokens: number;
  /** Whether its first event has come. */
  readonly begun: boolean;
}

/** Takes an ask back. */
export interface Withdraw {
  readonly type: "withdraw";
  readonly ask: number;
}

/** Says that the first event of a request has come. */
export interface Begun {
  readonly type: "begun";
  readonly ask: number;
}

/** How a permitted request ended, as far as it tells of the server. */
export type PermitOutcome = "served" | "failed" | "neutral";

/** Gives a permit back. */
export interface Finished {
  readonly type: "finished";
  readonly ask: number;
  readonly outcome: PermitOutcome;
}

/** Lets a router send the request that it asked for. */
export interface Permit {
  readonly type: "permit";
  readonly ask: number;
  /** Tokens that the engine is expected to read. */
  readonly uncachedTokens: number;
}

/** A team's recent service at one server. */
export type TeamService = readonly [team: string, service: number];

/** What a server has to do, for all routers. */
export interface ServerReport {
  readonly type: "server-report";
  readonly runs: number;
  readonly unreadTokens: number;
  readonly privateTokens: number;
  readonly asks: number;
  /** Tokens that would be read for what asks. */
  readonly askedTokens: number;
  readonly tokensPerMs: number;
  /** Share of recent requests that the server failed, 0 to 1. */
  readonly failureShare: number;
  readonly routers: number;
  /** Only teams whose service has changed. */
  readonly teams: readonly TeamService[];
}
