/** Callers that come back for the rest of a stream. */

import { err, ok, type Result } from "neverthrow";
import type { StreamOrigin } from "../origins/mod.ts";
import { type Failure, notRun } from "../router/failure.ts";
import { SHORT_RETRY_AFTER_MS } from "../scheduling/mod.ts";
import type { AdmittedRequest } from "./admit.ts";
import type { StreamOrigins } from "./stream_origins.ts";

/**
 * Longest time from the beginning of a stream until its caller comes back for
 * the rest, in time limits of its route: callers have a limit of their own.
 */
const STREAM_LIFETIME_TIMEOUTS = 2;

/**
 * Finds where the stream began that a request takes up, or why it can't go on;
 * null for a request that takes up none.
 */
export async function findOrigin(
  origins: StreamOrigins,
  { route, terms, service }: AdmittedRequest,
): Promise<Result<StreamOrigin | null, Failure>> {
  if (route.repetition !== "resumable" || terms.lastEventId === null)
    return ok(null);
  const lifetimeMs = route.timeoutMs * STREAM_LIFETIME_TIMEOUTS;
  const soleOrigin = () => origins.soleOrigin(service, lifetimeMs);
  // Of several services, any may have begun a stream that nobody remembers.
  const unremembered = () =>
    route.destinations.length === 1 ? soleOrigin() : null;
  const origin =
    terms.resumes === null
      ? soleOrigin()
      : await origins.find(terms.resumes, unremembered);
  if (origin === null) {
    const sentence = "It isn't known which version began the stream";
    return err(refusal("unknown-origin", sentence));
  }
  const isServed = route.destinations.some(
    (destination) => destination.service === origin.service,
  );
  if (isServed) return ok(origin);
  const sentence = "The service that began the stream is no longer in use";
  return err(refusal("origin-gone", sentence));
}

function refusal(code: string, sentence: string): Failure {
  return notRun(503, code, { sentence, retryAfterMs: SHORT_RETRY_AFTER_MS });
}
