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
}

/** Reports that suspects of crashes have had a sound response. */
export interface SoundReport {
  readonly type: "sound-report";
  readonly suspects: readonly string[];
  /** Time since the responses. */
  readonly ageMs: number;
}
