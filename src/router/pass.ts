/** Passes the answer of one attempt on to its caller. */

import type { Clock } from "../common/clock.ts";
import type { Head, Run } from "../protocol/mod.ts";
import type { Attempt } from "./attempt.ts";
import type { CallerAnswer } from "./caller_answer.ts";
import type { CallerRequest } from "./caller_request.ts";
import type { Outcome } from "./outcome.ts";
import type { SidePeer } from "./side_peer.ts";

/** Delivered bytes after which the side process may drop them. */
const ACKNOWLEDGE_BYTES = 16 * 1024;

/** A request with the answer to its caller. */
export interface Passing {
  readonly request: CallerRequest;
  readonly answer: CallerAnswer;
  readonly clock: Clock;
}

/** Sends a run and passes its answer on, until it ends or nobody waits. */
export async function pass(
  peer: SidePeer,
  run: Run,
  { request, answer, clock }: Passing,
): Promise<Outcome> {
  const attempt = peer.start(run);
  const { deadline } = request;
  const stop = () => attempt.lose("Nobody waits for the answer");
  const timer = setTimeout(stop, deadline.remainingMs);
  answer.gone.addEventListener("abort", stop, { once: true });
  if (answer.gone.aborted) stop();
  const outcome = await follow(peer, attempt, { answer, clock });
  clearTimeout(timer);
  answer.gone.removeEventListener("abort", stop);
  if (outcome.type !== "lost") {
    peer.finish(attempt);
    return outcome;
  }
  peer.cancel(attempt);
  if (answer.gone.aborted) return { type: "caller-gone" };
  return deadline.expired ? { type: "deadline" } : outcome;
}

async function follow(
  peer: SidePeer,
  attempt: Attempt,
  { answer, clock }: Pick<Passing, "answer" | "clock">,
): Promise<Outcome> {
  const name = attempt.run.attempt;
  let acknowledged = 0;
  // Kept back until a body follows: until then, a retry is possible.
  let head: Head | null = null;
  const begin = () => {
    if (head !== null) answer.begin(head);
    head = null;
  };
  const acknowledge = (offset: number) => {
    acknowledged = offset;
    peer.send({ type: "acknowledge", attempt: name, offset });
  };
  for await (const event of attempt.events) {
    switch (event.type) {
      case "head":
        head = event;
        break;
      case "data": {
        begin();
        await answer.write(event.bytes as Buffer, clock.monotonicMs());
        const delivered = event.offset + event.bytes.length;
        if (delivered - acknowledged >= ACKNOWLEDGE_BYTES) {
          acknowledge(delivered);
        }
        break;
      }
      case "end":
        begin();
        peer.delivered(attempt);
        answer.end();
        return { type: "answered" };
      case "refused":
      case "failed":
      case "lost":
        return event;
      default:
        return event satisfies never;
    }
  }
  throw new Error("Attempt ended without an outcome");
}
