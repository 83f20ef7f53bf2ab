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
