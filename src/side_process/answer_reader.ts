/** Reads an answer off the backend server, over as many connections as needed. */

import type { Result } from "neverthrow";
import type { Clock } from "../common/clock.ts";
import { Deadline } from "../common/deadline.ts";
import { messageOf } from "../common/error_message.ts";
import { sleep } from "../common/signal.ts";
import type { Run } from "../protocol/mod.ts";
import type { AnswerBuffer, Piece } from "./answer_buffer.ts";
import type { BackendClient, BackendError, Reply } from "./backend_client.ts";

/** Silence after which a resumable answer is asked for again. */
const ENGINE_SILENCE_MS = 2_000;
/** Wait before an engine is asked again after an error. */
const ENGINE_RETRY_MS = 200;
/** How long an engine that broke off is asked for the rest. */
const ENGINE_RESUME_MS = 3_000;

/** What a reader works with. */
export interface AnswerReaderParts {
  readonly clock: Clock;
  readonly backend: BackendClient;
  readonly run: Run;
  readonly buffer: AnswerBuffer;
}

/** Told as the answer comes. */
export interface AnswerListener {
  /** The buffer's head is set. */
  head(): void;
  /** A piece was added to the buffer. */
  piece(piece: Piece): void;
}

/** Fills a buffer; resumes where the backend server can. */
export class AnswerReader {
  readonly #parts: AnswerReaderParts;
  readonly #listener: AnswerListener;
  #lastByteMs = 0;

  constructor(parts: AnswerReaderParts, listener: AnswerListener) {
    this.#parts = parts;
    this.#listener = listener;
  }

  /** Returns null once the answer is whole, or what broke it off. */
  async read(signal: AbortSignal): Promise<BackendError | null> {
    const { backend, buffer, clock, run } = this.#parts;
    let giveUp = new Deadline(clock, ENGINE_RESUME_MS);
    let reply = await this.#head(signal, (head) => backend.start(run, head));
    for (;;) {
      const before = buffer.endOffset;
      const broken = reply.isErr()
        ? reply.error
        : await this.#follow(reply.value);
      if (broken === null) return null;
      if (buffer.endOffset > before) {
        giveUp = new Deadline(clock, ENGINE_RESUME_MS);
      }
      if (broken.type !== "broken" || !backend.resumable) return broken;
      if (signal.aborted || giveUp.expired) return broken;
      if (reply.isErr()) await sleep(ENGINE_RETRY_MS, signal);
      const offset = buffer.endOffset;
      reply = await this.#head(signal, (head) =>
        backend.resume(run.attempt, offset, { signal: head }),
      );
    }
  }

  /** Gives a call up that brings no head, so that it is asked for again. */
  async #head(
    signal: AbortSignal,
    call: (signal: AbortSignal) => Promise<Result<Reply, BackendError>>,
  ): Promise<Result<Reply, BackendError>> {
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

  /** Takes one connection's part of the answer. */
  async #follow(reply: Reply): Promise<BackendError | null> {
    const { buffer, clock } = this.#parts;
    if (buffer.head === null) {
      const { status, headers } = reply;
      buffer.head = { status, headers };
      this.#listener.head();
    }
    const stopWatching = this.#watch(reply);
    try {
      for await (const bytes of reply.body) {
        // The wait for the caller is not the server's silence.
        this.#lastByteMs = Number.POSITIVE_INFINITY;
        this.#listener.piece(buffer.append(bytes));
        await buffer.room();
        this.#lastByteMs = clock.monotonicMs();
      }
      return null;
    } catch (error) {
      return { type: "broken", sentence: messageOf(error) };
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
}
