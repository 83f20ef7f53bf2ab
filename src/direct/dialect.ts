/** Header conventions of a platform's callers and backend servers. */

import type { IncomingHttpHeaders } from "node:http";
import type { Result } from "neverthrow";
import type { BackendServer, ServerNotice } from "../directory/mod.ts";
import type { Prompt } from "../scheduling/mod.ts";

/** What a caller states in its request's headers. */
export interface RequestTerms {
  /** Unique request id; null if the caller sends none. */
  readonly id: string | null;
  /** Time for which the caller waits for the response; null if not stated. */
  readonly waitMs: number | null;
  readonly apiKey: string | null;
  readonly prompt: Prompt | null;
  /** Id of the last event that the caller has; null for a new stream. */
  readonly lastEventId: string | null;
  /**
   * Id of the request whose response brought the first event of the stream;
   * null for a new stream, or if it isn't stated.
   */
  readonly resumes: string | null;
}

/** What a response states about how many requests its server takes. */
export type StatedLimit =
  | { readonly type: "limited"; readonly requestsPerS: number }
  | { readonly type: "unlimited" }
  /** The response is not the server's own, or its limit can't be read. */
  | { readonly type: "unstated" };

/** What a backend server states in its response's headers. */
export interface ResponseTerms {
  /** Id of the request that it responds to; null if not stated. */
  readonly requestId: string | null;
  /** Whether the server states that it did not run the request. */
  readonly notRun: boolean;
  /** Whether the response has the seal that backend servers add. */
  readonly authentic: boolean;
  /** Requests per second that the server takes from all routers together. */
  readonly requestLimit: StatedLimit;
  /** What the server says of itself; empty if it takes requests as usual. */
  readonly notices: readonly ServerNotice[];
}

/** What the router states in the headers that it sends to a server. */
export interface ForwardingTerms {
  readonly server: BackendServer;
  /** Server whose prompt cache `server` can copy from; null for none. */
  readonly source: BackendServer | null;
  /** Time until the request's deadline. */
  readonly remainingMs: number;
  readonly team: string | null;
  /** Id of the event after which a stream resumes; null for a new stream. */
  readonly lastEventId: string | null;
}

/** Headers of a response, names in lower case. */
export type ResponseHeaders = Readonly<
  Record<string, string | string[] | undefined>
>;

/** Reads and writes the headers by a platform's conventions. */
export interface Dialect {
  /** Returns a message for the caller if a header is malformed. */
  readRequest(headers: IncomingHttpHeaders): Result<RequestTerms, string>;
  /** Headers for a backend server, names and values alternating. */
  forwardedHeaders(
    rawHeaders: readonly string[],
    terms: ForwardingTerms,
  ): string[];
  readResponse(status: number, headers: ResponseHeaders): ResponseTerms;
  /** Value of the Retry-After header for a time in milliseconds. */
  retryAfter(ms: number): string;
}
