/** Counts messages and bytes that a process sends to its peers. */

import type { Message } from "../protocol/mod.ts";

/** Totals since the start of the process. */
export interface TrafficTotals {
  controlBytes: number;
  controlMessages: number;
  bodyBytes: number;
  bodyMessages: number;
}

/** Whether a message carries a request or a response, not control data. */
function isBodyMessage(message: Message): boolean {
  switch (message.type) {
    case "run":
    case "head":
    case "data":
    case "end":
    case "claim-answer":
    case "key-update":
    case "key-answer":
      return true;
    default:
      return false;
  }
}

/** Traffic counters of one process, for all its connections. */
export class Traffic {
  readonly totals: TrafficTotals = {
    controlBytes: 0,
    controlMessages: 0,
    bodyBytes: 0,
    bodyMessages: 0,
  };
  readonly messagesByType = new Map<string, number>();

  /** Counts a sent message with the size of its frame. */
  count(message: Message, sizeBytes: number): void {
    const sent = this.messagesByType.get(message.type) ?? 0;
    this.messagesByType.set(message.type, sent + 1);
    if (isBodyMessage(message)) {
      this.totals.bodyBytes += sizeBytes;
      this.totals.bodyMessages += 1;
    } else {
      this.totals.controlBytes += sizeBytes;
      this.totals.controlMessages += 1;
    }
  }
}
