/**
 * Log of the runs at a stand-in. The routers and side processes have no access
 * to it: tests compare it with what callers were told.
 */

import { createHash } from "node:crypto";
import { appendFileSync, existsSync, readFileSync } from "node:fs";
import type { IncomingMessage } from "node:http";

/** Time within which a stand-in completes a line that it has begun to write. */
const LINE_TIMEOUT_MS = 1_000;
const READ_AGAIN_MS = 5;

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

/**
 * Returns the runs in a file; none if it doesn't exist.
 *
 * @throws SyntaxError if a line isn't whole, the last one after `LINE_TIMEOUT_MS`
 */
export function readRunLog(file: string): Execution[] {
  if (!existsSync(file)) return [];
  return readWholeLines(file)
    .split("\n")
    .filter((line) => line !== "")
    .map((line) => JSON.parse(line) as Execution);
}

/** Reads again while the stand-in, another process, is writing the last line. */
function readWholeLines(file: string): string {
  const giveUpAtMs = performance.now() + LINE_TIMEOUT_MS;
  for (;;) {
    const text = readFileSync(file, "utf8");
    const isWhole = text === "" || text.endsWith("\n");
    if (isWhole || performance.now() >= giveUpAtMs) return text;
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, READ_AGAIN_MS);
  }
}
