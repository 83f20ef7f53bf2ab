/** What becomes of a request that is scheduled. */

import type { BackendServer } from "../directory/mod.ts";
import type { Outcome } from "./outcome.ts";
import * as refusal from "./refusal.ts";

/** A server that a request may be sent to now. */
export interface Placement {
  readonly type: "placed";
  readonly server: BackendServer;
  /** Prompt tokens that the server is expected to prefill. */
  readonly uncachedTokens: number;
  /**
   * Server whose KV cache holds the missing prefix, to copy it from; null
   * for none.
   */
  readonly source: BackendServer | null;
  /** Whether the server still takes requests; asked just before sending. */
  isOpen(): boolean;
  /** Call when the first token has arrived. */
  noteFirstToken(): void;
  /** Call when its stream has paused for longer than is on time. */
  noteMissedPace(): void;
  /**
   * Applies the limit that the response states: requests per second, or null
   * for none. Returns whether that is new to this router.
   */
  noteRequestLimit(requestsPerS: number | null): boolean;
  /** Releases the server's capacity; later calls are ignored. */
  release(outcome: Outcome): void;
}

/** A refusal of a request that no server has got. */
export interface Refusal {
  readonly type: "refused";
  readonly reason: refusal.Reason;
  readonly retryAfterMs: number;
  /** Server whose permit the request waited for; null for none. */
  readonly awaitedServer: string | null;
}

/** The result of scheduling a request; `left`: its caller has left. */
export type Decision = Placement | Refusal | { readonly type: "left" };

/** Returns a refusal of a request; `awaitedServer` as in `Refusal`. */
export function refused(
  reason: refusal.Reason,
  {
    retryAfterMs,
    awaitedServer = null,
  }: {
    readonly retryAfterMs: number;
    readonly awaitedServer?: string | null;
  },
): Refusal {
  return { type: "refused", reason, retryAfterMs, awaitedServer };
}

/** Returns the refusal of a request by a router that shuts down. */
export function refusedAsStopping(awaitedServer: string | null): Refusal {
  const retryAfterMs = refusal.SHORT_RETRY_AFTER_MS;
  return refused("stopping", { retryAfterMs, awaitedServer });
}
