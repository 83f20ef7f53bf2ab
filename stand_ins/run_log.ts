/** What ran at a stand-in; the product can't see it. */

import { createHash } from "node:crypto";
import { appendFileSync, existsSync, readFileSync } from "node:fs";
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

/** Every run, also those before a crash when a file keeps them. */
export class RunLog {
  readonly executions: Execution[];
  readonly #file: string;

  /** Reads what ran before from the file; an empty name keeps no file. */
  constructor(file: string) {
    this.#file = file;
    this.executions = readRuns(file);
  }

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
    if (this.#file !== "") {
      appendFileSync(this.#file, `${JSON.stringify(execution)}\n`);
    }
    return execution;
  }

  /** Notes that a run has ended. */
  finish(execution: Execution): void {
    execution.finishedAt = Date.now();
  }
}

/** Returns the runs that a file keeps; none if there is no such file. */
export function readRuns(file: string): Execution[] {
  if (!existsSync(file)) return [];
  const lines = readFileSync(file, "utf8").split("\n");
  return lines
    .filter((line) => line !== "")
    .map((line) => JSON.parse(line) as Execution);
}
