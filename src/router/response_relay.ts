/** Relays the response of one attempt to the caller. */

import type { Clock } from "../common/clock.ts";
import { timerMs } from "../common/timer.ts";
import type { Head, RunRequest } from "../protocol/mod.ts";
import type { Attempt } from "./attempt.ts";
import type { AttemptOutcome } from "./attempt_outcome.ts";
import type { CallerRequest } from "./caller_request.ts";
import type { CallerResponse } from "./caller_response.ts";
import type { SideProcessPeer } from "./side_process_peer.ts";

/**
 * Bytes passed to the caller between two acknowledgements; the side process
 * may drop what has been acknowledged.
 */
const ACKNOWLEDGE_INTERVAL_BYTES = 16 * 1024;

/** What the relay needs besides the peer and the run. */
export interface RelayContext {
  readonly request: CallerRequest;
  readonly response: CallerResponse;
  readonly clock: Clock;
}

/**
 * Sends a run to a side process and relays its response. Cancels the attempt if
 * it is lost, the deadline passes or the caller disconnects.
 */
export async function relayResponse(
  peer: SideProcessPeer,
  run: RunRequest,
  { request, response, clock }: RelayContext,
): Promise<AttemptOutcome> {
  const attempt = peer.start(run);
  const { deadline } = request;
  const stop = () =>
    attempt.markLost("The deadline passed or the caller disconnected");
  const timer = setTimeout(stop, timerMs(deadline.remainingMs));
  response.disconnectSignal.addEventListener("abort", stop, { once: true });
  if (response.disconnectSignal.aborted) stop();
  const outcome = await relayEvents(peer, attempt, { response, clock });
  clearTimeout(timer);
  response.disconnectSignal.removeEventListener("abort", stop);
  if (outcome.type !== "lost") {
    peer.forget(attempt);
    return outcome;
  }
  peer.cancel(attempt);
  if (response.disconnectSignal.aborted) return { type: "caller-gone" };
  return deadline.expired ? { type: "deadline" } : outcome;
}

async function relayEvents(
  peer: SideProcessPeer,
  attempt: Attempt,
  { response, clock }: Pick<RelayContext, "response" | "clock">,
): Promise<AttemptOutcome> {
  const attemptId = attempt.run.attempt;
  let acknowledgedOffset = 0;
  // Held back until the body starts or the response ends: until the head is
  // sent, the request can be retried.
  let head: Head | null = null;
  const writeHead = () => {
    if (head !== null) response.writeHead(head);
    head = null;
  };
  const acknowledge = (offset: number) => {
    acknowledgedOffset = offset;
    peer.send({ type: "acknowledge", attempt: attemptId, offset });
  };
  for await (const event of attempt.events) {
    switch (event.type) {
      case "head":
        head = event;
        break;
      case "data": {
        writeHead();
        await response.write(event.bytes as Buffer, clock.monotonicMs());
        const deliveredOffset = event.offset + event.bytes.length;
        if (
          deliveredOffset - acknowledgedOffset >=
          ACKNOWLEDGE_INTERVAL_BYTES
        ) {
          acknowledge(deliveredOffset);
        }
        break;
      }
      case "end":
        writeHead();
        peer.confirmDelivery(attempt);
        response.end();
        return { type: "answered" };
      case "refused":
      case "failed":
      case "lost":
        return event;
      default:
        return event satisfies never;
    }
  }
  throw new Error(
    "Attempt's events ended without end, refusal, failure or loss",
  );
}
