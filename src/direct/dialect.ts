/** How a site's callers and backend servers word what the router must know. */

import type { IncomingHttpHeaders } from "node:http";
import type { Result } from "neverthrow";
import type { BackendServer } from "../directory/mod.ts";
import type { Prompt } from "../scheduling/mod.ts";

/** What a caller says in headers. */
export interface RequestTerms {
  /** Unique; null where callers give none. */
  readonly id: string | null;
  /** Time for which the caller waits. */
  readonly waitMs: number | null;
  readonly apiKey: string | null;
  readonly prompt: Prompt | null;
  /** Last event that the caller has of a stream; null for a new one. */
  readonly lastEventId: string | null;
}

/** What a backend server says in headers. */
export interface AnswerTerms {
  /** Request that it answers; null where it doesn't say. */
  readonly requestId: string | null;
  /** Whether it says that the request has not run. */
  readonly notRun: boolean;
  /** Whether the answer bears the mark of a backend server. */
  readonly authentic: boolean;
}

/** What the router adds to a request for one server. */
export interface SendTerms {
  readonly server: BackendServer;
  /** From whose cache it can copy what it lacks; null for none. */
  readonly source: BackendServer | null;
  readonly remainingMs: number;
  readonly team: string | null;
  /** Event after which a stream goes on; null for a new one. */
  readonly lastEventId: string | null;
}

/** Headers of an answer, names in lower case. */
export type AnswerHeaders = Readonly<
  Record<string, string | string[] | undefined>
>;

/** Reads and writes a site's headers. */
export interface Dialect {
  readRequest(headers: IncomingHttpHeaders): Result<RequestTerms, string>;
  /** Headers for a backend server, names and values in turn. */
  sendHeaders(rawHeaders: readonly string[], terms: SendTerms): string[];
  readAnswer(status: number, headers: AnswerHeaders): AnswerTerms;
  /** Value of Retry-After. */
  retryAfter(ms: number): string;
}
