/** One attempt of one request, as the router sees it. */

import { AsyncQueue } from "../common/queue.ts";
import { joinSmall } from "../common/small_pieces.ts";
import type { Message, RunRequest } from "../protocol/mod.ts";
import type { ResponseEvent } from "./response_event.ts";

/** Turns messages about an attempt into ordered events without duplicates. */
export class Attempt {
  readonly run: RunRequest;
  /** Incarnation of the side process that the run was sent to. */
  readonly incarnation: string;
  readonly #events = new AsyncQueue<ResponseEvent>();
  #receivedOffset = 0;
  #headReceived = false;
  #ended = false;

  constructor(run: RunRequest, incarnation: string) {
    this.run = run;
    this.incarnation = incarnation;
  }

  /** Events in the order of the response; ends after the final event. */
  get events(): AsyncIterable<ResponseEvent> {
    return this.#events;
  }

  /** Number of bytes of the response's body received so far. */
  get offset(): number {
    return this.#receivedOffset;
  }

  /** Whether the head has arrived. */
  get hasHead(): boolean {
    return this.#headReceived;
  }

  /**
   * Whether it can run again at another side process: it is idempotent, has no
   * idempotency key, and no byte of its body has been received.
   */
  get canFailOver(): boolean {
    const { idempotent, idempotencyKey } = this.run;
    return idempotent && idempotencyKey === "" && this.#receivedOffset === 0;
  }

  /** Processes a message; parts of the response received before are dropped. */
  receive(message: Message): void {
    if (this.#ended) return;
    switch (message.type) {
      case "head":
        if (!this.#headReceived) this.#events.push(message);
        this.#headReceived = true;
        return;
      case "data":
        this.#receiveData(message.offset, message.bytes as Buffer);
        return;
      case "end":
        if (message.offset === this.#receivedOffset) this.#finish(message);
        return;
      case "refused":
      case "failed":
        this.#finish(message);
        return;
      default:
        return;
    }
  }

  /** Ends the attempt as lost: nothing more is expected from its side process. */
  markLost(sentence: string): void {
    if (!this.#ended) this.#finish({ type: "lost", sentence });
  }

  #receiveData(offset: number, bytes: Buffer): void {
    const overlap = this.#receivedOffset - offset;
    // Drop data after a gap: the next resume requests everything from there on.
    if (overlap < 0 || overlap >= bytes.length) return;
    const newBytes = bytes.subarray(overlap);
    const startOffset = this.#receivedOffset;
    this.#receivedOffset += newBytes.length;
    const { attempt } = this.run;
    this.#events.pushJoined(
      { type: "data", attempt, offset: startOffset, bytes: newBytes },
      joinData,
    );
  }

  #finish(event: ResponseEvent): void {
    this.#ended = true;
    this.#events.push(event);
    this.#events.close();
  }
}

function joinData(
  last: ResponseEvent,
  next: ResponseEvent,
): ResponseEvent | null {
  const areData = last.type === "data" && next.type === "data";
  return areData ? joinSmall(last, next) : null;
}
