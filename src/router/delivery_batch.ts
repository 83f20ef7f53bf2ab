/** Acknowledges delivered responses in batches. */

import type { DeliveryConfirmation } from "../protocol/mod.ts";

/** Responses delivered within this time are acknowledged in one message. */
const BATCH_INTERVAL_MS = 250;

/** Collects delivered attempts until the next message is due. */
export class DeliveryBatch {
  readonly #send: (message: DeliveryConfirmation) => void;
  #attempts: string[] = [];
  #timer: NodeJS.Timeout | null = null;

  constructor(send: (message: DeliveryConfirmation) => void) {
    this.#send = send;
  }

  /** Adds an attempt whose complete response was passed to its caller. */
  add(attempt: string): void {
    this.#attempts.push(attempt);
    this.#timer ??= setTimeout(() => this.#flush(), BATCH_INTERVAL_MS);
  }

  #flush(): void {
    this.#timer = null;
    this.#send({ type: "delivered", attempts: this.#attempts });
    this.#attempts = [];
  }
}
