/** One attempt of one request, as the router sees it. */

import { AsyncQueue } from "../common/queue.ts";
import type { Message, Run } from "../protocol/mod.ts";
import type { AnswerEvent } from "./answer_event.ts";

/** Takes frames of an answer in order, each once. */
export class Attempt {
  readonly run: Run;
  /** Incarnation of the side process that it was sent to. */
  readonly incarnation: string;
  readonly #events = new AsyncQueue<AnswerEvent>();
  #offset = 0;
  #head = false;
  #over = false;

  constructor(run: Run, incarnation: string) {
    this.run = run;
    this.incarnation = incarnation;
  }

  /** Events in order. */
  get events(): AsyncIterable<AnswerEvent> {
    return this.#events;
  }

  /** Offset up to which the answer has arrived. */
  get offset(): number {
    return this.#offset;
  }

  /** Whether the head has arrived. */
  get hasHead(): boolean {
    return this.#head;
  }

  /** Whether it can run elsewhere: repeatable, and nothing was passed on. */
  get movable(): boolean {
    const { idempotent, idempotencyKey } = this.run;
    return idempotent && idempotencyKey === "" && this.#offset === 0;
  }

  /** Takes a message; what arrived before is dropped. */
  receive(message: Message): void {
    if (this.#over) return;
    switch (message.type) {
      case "head":
        if (!this.#head) this.#events.push(message);
        this.#head = true;
        return;
      case "data":
        this.#receiveData(message.offset, message.bytes as Buffer);
        return;
      case "end":
        if (message.offset === this.#offset) this.#finish(message);
        return;
      case "refused":
      case "failed":
        this.#finish(message);
        return;
      default:
        return;
    }
  }

  /** Says that the side process can't be asked any more. */
  lose(sentence: string): void {
    if (!this.#over) this.#finish({ type: "lost", sentence });
  }

  #receiveData(offset: number, bytes: Buffer): void {
    const skip = this.#offset - offset;
    // A gap can't be filled from here; the resume asks for the rest.
    if (skip < 0 || skip >= bytes.length) return;
    const fresh = bytes.subarray(skip);
    const at = this.#offset;
    this.#offset += fresh.length;
    const { attempt } = this.run;
    this.#events.push({ type: "data", attempt, offset: at, bytes: fresh });
  }

  #finish(event: AnswerEvent): void {
    this.#over = true;
    this.#events.push(event);
    this.#events.close();
  }
}
