/** Messages about requests that crash backend servers. */

/** Reports the requests that ran in a backend server when it crashed. */
export interface Strike {
  readonly type: "strike";
  /** Identifier of the crash; repeated reports of it count once. */
  readonly crash: string;
  /** Fingerprints of the requests that ran. */
  readonly fingerprints: readonly string[];
}

/** Reports that a suspected request ended without a crash. */
export interface StrikeClearance {
  readonly type: "clear";
  readonly fingerprint: string;
}

/** A request that ran in a crash, and its prompt parts that are suspects. */
export type SuspectRequest = readonly [
  fingerprint: string,
  parts: readonly string[],
];

/** Reports a crash of a server to the routers that share it. */
export interface CrashReport {
  readonly type: "crash-report";
  /** Identifier of the crash; repeated reports of it are merged. */
  readonly crash: string;
  /** Time since the crash. */
  readonly ageMs: number;
  readonly requests: readonly SuspectRequest[];
  /** Suspects of the crash that a sound response has cleared. */
  readonly cleared: readonly string[];
}

/** Reports that suspects of crashes have had a sound response. */
export interface SoundReport {
  readonly type: "sound-report";
  readonly suspects: readonly string[];
  /** Time since the responses. */
  readonly ageMs: number;
}

/** What a process holds of one crash: digest, and numbers of suspects. */
export type CrashDigest = readonly [
  crash: string,
  digest: number,
  /** Suspects that sound responses have cleared. */
  cleared: number,
  /** Other suspects. */
  open: number,
];

/** Digest of all crash evidence of the sender, which begins a comparison. */
export interface CrashSummary {
  readonly type: "crash-summary";
  readonly digest: number;
}

/** Digests of all crashes, in reply to a summary that differs. */
export interface CrashDigests {
  readonly type: "crash-digests";
  readonly digests: readonly CrashDigest[];
}

/** Digests of the crashes of which the receiver may hold less. */
export interface CrashOffer {
  readonly type: "crash-offer";
  readonly digests: readonly CrashDigest[];
}

/** Asks for the records of crashes. */
export interface CrashQuery {
  readonly type: "crash-query";
  readonly crashes: readonly string[];
}

/** What the sender holds of a crash, in reply to a query; isn't passed on. */
export interface CrashRecordReply extends Omit<CrashReport, "type"> {
  readonly type: "crash-record";
}

/** Messages that compare the crash evidence of two processes. */
export type CrashSyncMessage =
  | CrashSummary
  | CrashDigests
  | CrashOffer
  | CrashQuery
  | CrashRecordReply;
