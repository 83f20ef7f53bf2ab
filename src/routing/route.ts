/** Routes of the operators' configuration. */

/** Whether a request may be retried once a server may have started it. */
export type Repetition = "idempotent" | "non-idempotent" | "resumable";

/** A service that gets a share of a route's requests. */
export interface Destination {
  readonly service: string;
  /** Share, relative to the weights of the route's other destinations. */
  readonly weight: number;
}

/** How requests to one host under one path prefix are handled. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly destinations: readonly Destination[];
  /** Whether answers are event streams. */
  readonly streaming: boolean;
  readonly repetition: Repetition;
  /** Total time limit of a request. */
  readonly timeoutMs: number;
  /** Target time to the answer, or to the first event of a stream. */
  readonly objectiveMs: number;
  /** Longest pause between events of a stream that is on time; null for any. */
  readonly eventGapMs: number | null;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Largest number of backend servers that a request is sent to. */
  readonly maxAttempts: number;
  readonly requiresKey: boolean;
  /** Regions in which its requests may be served; null for any. */
  readonly regions: readonly string[] | null;
}
