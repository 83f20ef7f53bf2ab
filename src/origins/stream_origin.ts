/** The backend server that began a stream. */

/**
 * What a stream can go on at: what servers of two versions write doesn't fit
 * together.
 */
export interface StreamOrigin {
  readonly service: string;
  /** Version of the server's software. */
  readonly version: string;
  readonly server: string;
}

/** What is known of how a request's stream began. */
export type OriginRecord =
  | { readonly type: "known"; readonly origin: StreamOrigin }
  /** It was sent to servers of two versions, and no event has come yet. */
  | { readonly type: "ambiguous" };

/** Whether a stream of one origin may go on at a server of the other. */
export function isCompatible(a: StreamOrigin, b: StreamOrigin): boolean {
  return a.service === b.service && a.version === b.version;
}
