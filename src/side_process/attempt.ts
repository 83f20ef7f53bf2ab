/** One attempt to run a request at the backend server. */

import type { Clock } from "../common/clock.ts";
import { Deadline } from "../common/deadline.ts";
import { timerMs } from "../common/timer.ts";
import type {
  AttemptFailure,
  FailedOutcome,
  Header,
  Message,
  ResumeRequest,
  RunRequest,
  StoredResponse,
} from "../protocol/mod.ts";
import type { BackendClient, BackendError } from "./backend_client.ts";
import type { Charge, Ending } from "./charge.ts";
import { type Chunk, ResponseBuffer } from "./response_buffer.ts";
import { ResponseReader } from "./response_reader.ts";
import { UsageScanner } from "./usage_scanner.ts";

/**
 * Time added to a run's deadline here. The router times out first and responds
 * to the caller; this process then only aborts the call to the server.
 */
const DEADLINE_GRACE_MS = 500;

/** Marks a response that was stored by an earlier run. */
const REPLAYED_HEADER: Header = ["oriole-replayed", "true"];

/** Receives the messages of an attempt's response. */
export interface ResponseReceiver {
  send(message: Message): void;
}

/** Dependencies of an attempt. */
export interface AttemptDependencies {
  readonly clock: Clock;
  readonly backend: BackendClient;
  readonly charge: Charge;
  /** Whether the server has crashed; called before a failure is reported. */
  readonly hasCrashed: () => Promise<boolean>;
}

/** How an attempt ended. */
export type AttemptResult =
  | { readonly type: "answered" }
  | { readonly type: "failed"; readonly failure: AttemptFailure };

/** Runs a request, and buffers its response so that a router can resume it. */
export class Attempt {
  readonly run: RunRequest;
  readonly buffer = new ResponseBuffer();
  readonly #deps: AttemptDependencies;
  readonly #deadline: Deadline;
  readonly #usage = new UsageScanner();
  readonly #abort = new AbortController();
  #receiver: ResponseReceiver | null;
  #result: AttemptResult | null = null;
  #cancelled = false;

  constructor(
    run: RunRequest,
    deps: AttemptDependencies,
    receiver: ResponseReceiver,
  ) {
    this.run = run;
    this.#deps = deps;
    this.#receiver = receiver;
    const remainingMs = run.remainingMs + DEADLINE_GRACE_MS;
    this.#deadline = new Deadline(deps.clock, remainingMs);
  }

  /** The result; null while the attempt runs. */
  get result(): AttemptResult | null {
    return this.#result;
  }

  /** Receiver of the response; null while its router is disconnected. */
  get receiver(): ResponseReceiver | null {
    return this.#receiver;
  }

  /** Whether it has failed, or its whole response was acknowledged. */
  get finished(): boolean {
    if (this.#result === null) return false;
    return this.#result.type === "failed" || this.buffer.delivered;
  }

  /** Runs the request to its end and settles its charge; never rejects. */
  async execute(): Promise<AttemptResult> {
    const timer = setTimeout(
      () => this.#abort.abort("deadline"),
      timerMs(this.#deadline.remainingMs),
    );
    const reader = new ResponseReader(
      { ...this.#deps, run: this.run, buffer: this.buffer },
      { head: () => this.#sendHead(), chunk: (chunk) => this.#forward(chunk) },
    );
    const error = await reader.read(this.#abort.signal);
    clearTimeout(timer);
    const failure = error === null ? null : await this.#toFailed(error);
    const ending: Ending = failure === null ? "answered" : "failed";
    this.#deps.charge.settle(ending, this.#usage.final);
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

  /** Sends the stored response of an earlier run, without a new run. */
  replay({ status, headers, body }: StoredResponse): void {
    this.#deps.charge.cancel();
    this.buffer.head = { status, headers: [...headers, REPLAYED_HEADER] };
    this.#sendHead();
    const chunk = this.buffer.append(Buffer.from(body));
    this.#sendChunk(chunk);
    this.buffer.end();
    this.#result = { type: "answered" };
    this.#send(this.#endMessage());
  }

  /** Fails the attempt before it has run. */
  refuse(failure: Omit<AttemptFailure, "type" | "attempt">): void {
    this.#deps.charge.cancel();
    const { attempt } = this.run;
    const failed: AttemptFailure = { ...failure, type: "failed", attempt };
    this.#result = { type: "failed", failure: failed };
    this.#send(failed);
  }

  /** Aborts the attempt because nobody waits for its response. */
  cancel(reason: string): void {
    this.buffer.discard();
    if (this.#result !== null) return;
    this.#cancelled = true;
    this.#abort.abort(reason);
    if (!this.#deps.backend.resumable) return;
    void this.#deps.backend.cancel(this.run.attempt);
  }

  /** Aborts the attempt because the backend server has restarted. */
  abort(): void {
    this.#abort.abort("Backend server restarted");
  }

  /** Stops sending to a closed connection until a new one resumes. */
  detach(receiver: ResponseReceiver): void {
    if (this.#receiver === receiver) this.#receiver = null;
  }

  /** Sends the part of the response that the router does not have yet. */
  resume(receiver: ResponseReceiver, { offset, head }: ResumeRequest): void {
    this.#receiver = receiver;
    if (!head) this.#sendHead();
    for (const chunk of this.buffer.from(offset) ?? []) {
      this.#sendChunk(chunk);
    }
    if (this.#result?.type === "failed") this.#send(this.#result.failure);
    else if (this.#result !== null) this.#send(this.#endMessage());
  }

  async #toFailed(error: BackendError): Promise<AttemptFailure> {
    const ran = error.type !== "not-sent" && !this.#cancelled;
    const crashed = ran && (await this.#deps.hasCrashed());
    return this.#failure(error, crashed ? "crashed" : error.type);
  }

  #failure(error: BackendError, cause: string): AttemptFailure {
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

  #forward(chunk: Chunk): void {
    this.#usage.push(chunk.bytes);
    this.#deps.charge.extend(this.#usage.running);
    this.#sendChunk(chunk);
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

  #sendChunk({ offset, bytes }: Chunk): void {
    const { attempt } = this.run;
    this.#send({ type: "data", attempt, offset, bytes });
  }

  #send(message: Message): void {
    this.#receiver?.send(message);
  }
}
