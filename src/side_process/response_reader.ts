/** Reads a response from the backend server, resuming it on new connections. */

import type { Result } from "neverthrow";
import type { Clock } from "../common/clock.ts";
import { Deadline } from "../common/deadline.ts";
import { messageOf } from "../common/error_message.ts";
import { sleep } from "../common/promises.ts";
import type { RunRequest } from "../protocol/mod.ts";
import type { BackendClient, BackendError, Reply } from "./backend_client.ts";
import type { Chunk, ResponseBuffer } from "./response_buffer.ts";

/** Time without a byte after which a resumable response is requested anew. */
const SILENCE_TIMEOUT_MS = 2_000;
/** Delay before a resume after a call that failed. */
const RETRY_DELAY_MS = 200;
/** Time without progress after which a broken response is not resumed again. */
const RESUME_TIMEOUT_MS = 3_000;

/** Dependencies of a response reader. */
export interface ResponseReaderDependencies {
  readonly clock: Clock;
  readonly backend: BackendClient;
  readonly run: RunRequest;
  readonly buffer: ResponseBuffer;
}

/** Notified as the response arrives. */
export interface ResponseListener {
  /** Called once, after the buffer's head was set. */
  head(): void;
  /** Called after a chunk was appended to the buffer. */
  chunk(chunk: Chunk): void;
}

/** Reads one response into a buffer; resumes it if the server supports that. */
export class ResponseReader {
  readonly #deps: ResponseReaderDependencies;
  readonly #listener: ResponseListener;
  #lastByteMs = 0;

  constructor(deps: ResponseReaderDependencies, listener: ResponseListener) {
    this.#deps = deps;
    this.#listener = listener;
  }

  /**
   * Sends the request and reads its response. Returns null once the response
   * is complete, or the error that ended it.
   */
  async read(signal: AbortSignal): Promise<BackendError | null> {
    const { backend, buffer, clock, run } = this.#deps;
    let resumeDeadline = new Deadline(clock, RESUME_TIMEOUT_MS);
    let reply = await this.#waitForHead(signal, (head) =>
      backend.start(run, head),
    );
    for (;;) {
      const before = buffer.endOffset;
      const failure = reply.isErr()
        ? reply.error
        : await this.#readBody(reply.value);
      if (failure === null) return null;
      if (buffer.endOffset > before) {
        resumeDeadline = new Deadline(clock, RESUME_TIMEOUT_MS);
      }
      if (failure.type !== "broken" || !backend.resumable) return failure;
      if (signal.aborted || resumeDeadline.expired) return failure;
      if (reply.isErr()) await sleep(RETRY_DELAY_MS, signal);
      const offset = buffer.endOffset;
      reply = await this.#waitForHead(signal, (head) =>
        backend.resume(run.attempt, offset, { signal: head }),
      );
    }
  }

  /** Aborts a call without response headers in time, so that it is retried. */
  async #waitForHead(
    signal: AbortSignal,
    call: (signal: AbortSignal) => Promise<Result<Reply, BackendError>>,
  ): Promise<Result<Reply, BackendError>> {
    if (!this.#deps.backend.resumable) return await call(signal);
    const silenceTimeout = new AbortController();
    const timer = setTimeout(
      () =>
        silenceTimeout.abort(
          new Error("Backend server sent no response headers in time"),
        ),
      SILENCE_TIMEOUT_MS,
    );
    const reply = await call(AbortSignal.any([signal, silenceTimeout.signal]));
    clearTimeout(timer);
    return reply;
  }

  /** Reads the part of the response that arrives on one connection. */
  async #readBody(reply: Reply): Promise<BackendError | null> {
    const { buffer, clock } = this.#deps;
    if (buffer.head === null) {
      const { status, headers } = reply;
      buffer.head = { status, headers };
      this.#listener.head();
    }
    const stopWatching = this.#abortWhenSilent(reply);
    try {
      for await (const bytes of reply.body) {
        // While the caller is waited for, the server does not count as silent.
        this.#lastByteMs = Number.POSITIVE_INFINITY;
        this.#listener.chunk(buffer.append(bytes));
        await buffer.waitForRoom();
        this.#lastByteMs = clock.monotonicMs();
      }
      return null;
    } catch (error) {
      return { type: "broken", sentence: messageOf(error) };
    } finally {
      stopWatching();
    }
  }

  /** Aborts a silent connection; the response is resumed on a new one. */
  #abortWhenSilent(reply: Reply): () => void {
    const { backend, clock } = this.#deps;
    if (!backend.resumable) return () => undefined;
    this.#lastByteMs = clock.monotonicMs();
    const timer = setInterval(() => {
      const silentMs = clock.monotonicMs() - this.#lastByteMs;
      if (silentMs > SILENCE_TIMEOUT_MS) reply.abort();
    }, SILENCE_TIMEOUT_MS / 4);
    return () => clearInterval(timer);
  }
}
