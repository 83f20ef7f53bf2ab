/** One attempt of one request at the backend server. */

import type { Result } from "neverthrow";
import type { Clock } from "../common/clock.ts";
import { Deadline } from "../common/deadline.ts";
import { messageOf } from "../common/error_message.ts";
import { sleep } from "../common/signal.ts";
import type {
  Failed,
  FailedOutcome,
  Header,
  Message,
  Resume,
  Run,
  StoredAnswer,
} from "../protocol/mod.ts";
import { AnswerBuffer } from "./answer_buffer.ts";
import type { BackendClient, BackendError, Reply } from "./backend_client.ts";
import type { Charge, Ending } from "./charge.ts";
import { UsageScanner } from "./usage_scanner.ts";

/** Silence after which a resumable answer is asked for again. */
const ENGINE_SILENCE_MS = 2_000;
/** Wait before an engine is asked again after an error. */
const ENGINE_RETRY_MS = 200;
/** How long an engine that broke off is asked for the rest. */
const ENGINE_RESUME_MS = 3_000;
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
  #lastByteMs = 0;

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
    const error = await this.#answer();
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
    this.#sendPiece(piece.offset, piece.bytes);
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
      this.#sendPiece(piece.offset, piece.bytes);
    }
    if (this.#result?.type === "failed") this.#send(this.#result.failure);
    else if (this.#result !== null) this.#send(this.#endMessage());
  }

  /** Returns null once the answer is whole. */
  async #answer(): Promise<BackendError | null> {
    const { backend } = this.#parts;
    const { signal } = this.#abort;
    let reply = await this.#head((head) => backend.start(this.run, head));
    const resumeUntil = () => new Deadline(this.#parts.clock, ENGINE_RESUME_MS);
    let giveUp = resumeUntil();
    for (;;) {
      const before = this.buffer.endOffset;
      const broken = reply.isErr()
        ? reply.error
        : await this.#read(reply.value);
      if (broken === null) return null;
      if (this.buffer.endOffset > before) giveUp = resumeUntil();
      if (broken.type !== "broken" || !backend.resumable) return broken;
      if (signal.aborted || giveUp.expired) return broken;
      if (reply.isErr()) await sleep(ENGINE_RETRY_MS, signal);
      const offset = this.buffer.endOffset;
      reply = await this.#head((head) =>
        backend.resume(this.run.attempt, offset, { signal: head }),
      );
    }
  }

  /** Gives a call up that brings no head, so that it is asked for again. */
  async #head(
    call: (signal: AbortSignal) => Promise<Result<Reply, BackendError>>,
  ): Promise<Result<Reply, BackendError>> {
    const { signal } = this.#abort;
    if (!this.#parts.backend.resumable) return await call(signal);
    const silence = new AbortController();
    const timer = setTimeout(
      () => silence.abort(new Error("Backend server was silent")),
      ENGINE_SILENCE_MS,
    );
    const reply = await call(AbortSignal.any([signal, silence.signal]));
    clearTimeout(timer);
    return reply;
  }

  /** Passes an answer on; returns what broke it off, or null at its end. */
  async #read(reply: Reply): Promise<BackendError | null> {
    if (this.buffer.head === null) {
      const { status, headers } = reply;
      this.buffer.head = { status, headers };
      this.#sendHead();
    }
    const stopWatching = this.#watch(reply);
    try {
      for await (const bytes of reply.body) {
        this.#lastByteMs = this.#parts.clock.monotonicMs();
        this.#pass(bytes);
        await this.#room();
      }
      return null;
    } catch (error) {
      return broken(messageOf(error));
    } finally {
      stopWatching();
    }
  }

  /** Abandons an answer that is silent, so that it is asked for again. */
  #watch(reply: Reply): () => void {
    const { backend, clock } = this.#parts;
    if (!backend.resumable) return () => undefined;
    this.#lastByteMs = clock.monotonicMs();
    const timer = setInterval(() => {
      const silentMs = clock.monotonicMs() - this.#lastByteMs;
      if (silentMs > ENGINE_SILENCE_MS) reply.abandon();
    }, ENGINE_SILENCE_MS / 4);
    return () => clearInterval(timer);
  }

  /** Waits for the caller; that time is not the server's silence. */
  async #room(): Promise<void> {
    await this.buffer.room();
    this.#lastByteMs = this.#parts.clock.monotonicMs();
  }

  #pass(bytes: Buffer): void {
    this.#usage.push(bytes);
    this.#parts.charge.grow(this.#usage.running);
    const piece = this.buffer.append(bytes);
    this.#sendPiece(piece.offset, piece.bytes);
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

  #sendPiece(offset: number, bytes: Buffer): void {
    const { attempt } = this.run;
    this.#send({ type: "data", attempt, offset, bytes });
  }

  #send(message: Message): void {
    this.#receiver?.send(message);
  }
}

function broken(sentence: string): BackendError {
  return { type: "broken", sentence };
}
