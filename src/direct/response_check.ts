/** Checks the head of a backend server's response before it is believed. */

import { isValidStatus } from "../common/http_status.ts";
import { isReadableCoding } from "../common/transfer_coding.ts";
import { HEAD_LIMIT_LINES } from "./backend_socket.ts";
import type { ResponseHeaders, ResponseTerms } from "./dialect.ts";

/** The head of a response, and what the server states in it. */
export interface ReceivedHead {
  readonly status: number;
  readonly headers: ResponseHeaders;
  readonly terms: ResponseTerms;
}

/** What the response is expected to answer. */
export interface ExpectedResponse {
  /** Id that the response must name, if it names one. */
  readonly requestId: string | null;
  /** Whether its connection has carried no other request. */
  readonly isFirstUse: boolean;
}

/** Why a response is invalid; null if it is valid. Logged as `reason`. */
export function rejectionReason(
  { status, headers, terms }: ReceivedHead,
  { requestId, isFirstUse }: ExpectedResponse,
): string | null {
  if (!isValidStatus(status)) return `Status ${status} is invalid`;
  if (terms.requestId === null) {
    // It may be a copy of the response to an earlier request.
    if (!isFirstUse)
      return "The response on a reused connection names no request";
  } else if (terms.requestId !== requestId) {
    return "The server answered another request";
  }
  if (countLines(headers) > HEAD_LIMIT_LINES)
    return `The head has over ${HEAD_LIMIT_LINES} lines`;
  if (terms.notRun) return null;
  if (!terms.authentic) return `Status ${status} is not a server's own`;
  if (headers["content-encoding"] !== undefined) {
    return "The answer is encoded though nobody asked for it";
  }
  if (!isReadableCoding(headers["transfer-encoding"]))
    return "The answer has a transfer coding that nobody asked for";
  return null;
}

function countLines(headers: ResponseHeaders): number {
  return Object.values(headers).flat().length;
}
