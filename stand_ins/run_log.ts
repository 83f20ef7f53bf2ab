/**
 * Log of the runs at a stand-in. The routers and side processes have no access
 * to it: tests compare it with what callers were told.
 */

import { createHash } from "node:crypto";
import { appendFileSync, existsSync, readFileSync } from "node:fs";
import type { IncomingMessage } from "node:http";

/** One run of a request. */
export interface Execution {
  readonly requestId: string;
  readonly idempotencyKey: string;
  readonly bodyHash: string;
  /** Wall-clock time in milliseconds since the epoch. */
  readonly startedAt: number;
  /** Null while it runs; always null in the file. */
  finishedAt: number | null;
}

/** Records runs; with a file, the earlier runs survive a crash. */
export class RunLog {
  readonly executions: Execution[];
  readonly #file: string;

  /** Loads earlier runs from the file; an empty name means no file. */
  constructor(file: string) {
    this.#file = file;
    this.executions = readRunLog(file);
  }

  /** Records the start of a request, in the file as well. */
  start(request: IncomingMessage, body: Buffer): Execution {
    const execution = {
      requestId: String(request.headers["x-request-id"] ?? ""),
      idempotencyKey: String(request.headers["idempotency-key"] ?? ""),
      bodyHash: createHash("sha256").update(body).digest("hex"),
      startedAt: Date.now(),
      finishedAt: null,
    };
    this.executions.push(execution);
    if (this.#file !== "") {
      appendFileSync(this.#file, `${JSON.stringify(execution)}\n`);
    }
    return execution;
  }

  /** Records the end of a run, in memory only. */
  finish(execution: Execution): void {
    execution.finishedAt = Date.now();
  }
}

/** Returns the runs in a file; none if it doesn't exist. */
export function readRunLog(file: string): Execution[] {
  if (!existsSync(file)) return [];
  const lines = readFileSync(file, "utf8").split("\n");
  return lines
    .filter((line) => line !== "")
    .map((line) => JSON.parse(line) as Execution);
}
