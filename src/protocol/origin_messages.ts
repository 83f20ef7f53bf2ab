/** Messages that tell which server began a stream. */

/** Fields of an origin; empty unless its state is "known". */
export interface PackedOrigin {
  readonly state: "known" | "ambiguous" | "unknown";
  readonly service: string;
  /** Version of the server's software. */
  readonly softwareVersion: string;
  readonly server: string;
}

/** Asks an admission controller to remember how a request's stream began. */
export interface OriginNotice extends PackedOrigin {
  readonly type: "stream-origin";
  /** The caller's id of the request. */
  readonly request: string;
}

/** Asks an admission controller how a request's stream began. */
export interface OriginQuery {
  readonly type: "origin-query";
  readonly request: string;
}

/** Answers an `OriginQuery`. */
export interface OriginAnswer extends PackedOrigin {
  readonly type: "origin-answer";
  readonly request: string;
}
