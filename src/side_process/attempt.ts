/** One attempt of one request at the backend server. */

import type { Clock } from "../common/clock.ts";
import { Deadline } from "../common/deadline.ts";
import type {
  Failed,
  FailedOutcome,
  Header,
  Message,
  Resume,
  Run,
  StoredAnswer,
} from "../protocol/mod.ts";
import { AnswerBuffer, type Piece } from "./answer_buffer.ts";
import { AnswerReader } from "./answer_reader.ts";
import type { BackendClient, BackendError } from "./backend_client.ts";
import type { Charge, Ending } from "./charge.ts";
import { UsageScanner } from "./usage_scanner.ts";

/** The router gives up first; this process only cleans up after it. */
const DEADLINE_GRACE_MS = 500;

/** Marks an answer that was kept of an earlier run. */
const REPLAYED: Header = ["oriole-replayed", "true"];

/** Where an attempt's answer goes. */
export interface AnswerReceiver {
  send(message: Message): void;
}

/** What an attempt needs. */
export interface AttemptParts {
  readonly clock: Clock;
  readonly backend: BackendClient;
  readonly charge: Charge;
  /** Tells whether the server crashed; called before a failure is told. */
  readonly hasCrashed: () => Promise<boolean>;
}

/** How an attempt ended. */
export type AttemptResult =
  | { readonly type: "answered" }
  | { readonly type: "failed"; readonly failure: Failed };

/** Runs a request, keeps its answer until acknowledged, resumes it. */
export class Attempt {
  readonly run: Run;
  readonly buffer = new AnswerBuffer();
  readonly #parts: AttemptParts;
  readonly #deadline: Deadline;
  readonly #usage = new UsageScanner();
  readonly #abort = new AbortController();
  #receiver: AnswerReceiver | null;
  #result: AttemptResult | null = null;
  #cancelled = false;

  constructor(run: Run, parts: AttemptParts, receiver: AnswerReceiver) {
    this.run = run;
    this.#parts = parts;
    this.#receiver = receiver;
    const remainingMs = run.remainingMs + DEADLINE_GRACE_MS;
    this.#deadline = new Deadline(parts.clock, remainingMs);
  }

  /** The result once there is one. */
  get result(): AttemptResult | null {
    return this.#result;
  }

  /** Where the answer goes now. */
  get receiver(): AnswerReceiver | null {
    return this.#receiver;
  }

  /** Whether nothing of it is needed any more. */
  get finished(): boolean {
    if (this.#result === null) return false;
    return this.#result.type === "failed" || this.buffer.delivered;
  }

  /** Runs to the end; never rejects. */
  async execute(): Promise<AttemptResult> {
    const timer = setTimeout(
      () => this.#abort.abort("deadline"),
      this.#deadline.remainingMs,
    );
    const reader = new AnswerReader(
      { ...this.#parts, run: this.run, buffer: this.buffer },
      { head: () => this.#sendHead(), piece: (piece) => this.#pass(piece) },
    );
    const error = await reader.read(this.#abort.signal);
    clearTimeout(timer);
    const failure = error === null ? null : await this.#judge(error);
    const ending: Ending = failure === null ? "answered" : "failed";
    this.#parts.charge.settle(ending, this.#usage.final);
    if (failure === null) {
      this.buffer.end();
      this.#result = { type: "answered" };
      this.#send(this.#endMessage());
    } else {
      this.#result = { type: "failed", failure };
      this.#send(failure);
    }
    return this.#result;
  }

  /** Answers without a run, from an answer kept of an earlier one. */
  replay({ status, headers, body }: StoredAnswer): void {
    this.#parts.charge.cancel();
    this.buffer.head = { status, headers: [...headers, REPLAYED] };
    this.#sendHead();
    const piece = this.buffer.append(Buffer.from(body));
    this.#sendPiece(piece);
    this.buffer.end();
    this.#result = { type: "answered" };
    this.#send(this.#endMessage());
  }

  /** Ends the attempt before it has run. */
  refuse(failure: Omit<Failed, "type" | "attempt">): void {
    this.#parts.charge.cancel();
    const { attempt } = this.run;
    const failed: Failed = { ...failure, type: "failed", attempt };
    this.#result = { type: "failed", failure: failed };
    this.#send(failed);
  }

  /** Ends the attempt because nobody waits for its answer. */
  cancel(reason: string): void {
    this.buffer.abandon();
    if (this.#result !== null) return;
    this.#cancelled = true;
    this.#abort.abort(reason);
    if (!this.#parts.backend.resumable) return;
    void this.#parts.backend.cancel(this.run.attempt);
  }

  /** Says that the backend server has restarted: the request is lost. */
  crash(): void {
    this.#abort.abort("Backend server restarted");
  }

  /** Stops sending until a new connection resumes. */
  detach(receiver: AnswerReceiver): void {
    if (this.#receiver === receiver) this.#receiver = null;
  }

  /** Sends on a new connection what the router does not have. */
  resume(receiver: AnswerReceiver, { offset, head }: Resume): void {
    this.#receiver = receiver;
    if (!head) this.#sendHead();
    for (const piece of this.buffer.from(offset) ?? []) {
      this.#sendPiece(piece);
    }
    if (this.#result?.type === "failed") this.#send(this.#result.failure);
    else if (this.#result !== null) this.#send(this.#endMessage());
  }

  async #judge(error: BackendError): Promise<Failed> {
    const ran = error.type !== "not-sent" && !this.#cancelled;
    const crashed = ran && (await this.#parts.hasCrashed());
    return this.#failure(error, crashed ? "crashed" : error.type);
  }

  #failure(error: BackendError, cause: string): Failed {
    const head = this.buffer.head !== null;
    const outcome: FailedOutcome =
      error.type === "not-sent" ? "not-run" : head ? "ran" : "unknown";
    return {
      type: "failed",
      attempt: this.run.attempt,
      outcome,
      code: `backend-${cause}`,
      sentence: error.sentence,
      retryAfterMs: 1_000,
    };
  }

  #pass(piece: Piece): void {
    this.#usage.push(piece.bytes);
    this.#parts.charge.extend(this.#usage.running);
    this.#sendPiece(piece);
  }

  #endMessage(): Message {
    const { attempt } = this.run;
    return { type: "end", attempt, offset: this.buffer.endOffset };
  }

  #sendHead(): void {
    const { head } = this.buffer;
    if (head === null) return;
    const { attempt } = this.run;
    this.#send({ type: "head", attempt, ...head });
  }

  #sendPiece({ offset, bytes }: Piece): void {
    const { attempt } = this.run;
    this.#send({ type: "data", attempt, offset, bytes });
  }

  #send(message: Message): void {
    this.#receiver?.send(message);
  }
}
