/** Messages about requests that crash backend servers. */

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
