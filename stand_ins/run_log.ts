/** What ran at a stand-in; the product can't see it. */

import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";

/** One run. */
export interface Execution {
  readonly requestId: string;
  readonly idempotencyKey: string;
  readonly bodyHash: string;
  /** Wall time in milliseconds. */
  readonly startedAt: number;
  finishedAt: number | null;
}

/** Every run since the start of the stand-in. */
export class RunLog {
  readonly executions: Execution[] = [];

  /** Notes that a request starts. */
  start(request: IncomingMessage, body: Buffer): Execution {
    const execution = {
      requestId: String(request.headers["x-request-id"] ?? ""),
      idempotencyKey: String(request.headers["idempotency-key"] ?? ""),
      bodyHash: createHash("sha256").update(body).digest("hex"),
      startedAt: Date.now(),
      finishedAt: null,
    };
    this.executions.push(execution);
    return execution;
  }

  /** Notes that a run has ended. */
  finish(execution: Execution): void {
    execution.finishedAt = Date.now();
  }
}
