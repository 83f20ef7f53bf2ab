/** Calls the backend server beside this side process. */

import { err, ok, type Result } from "neverthrow";
import { Agent, type Dispatcher, request } from "undici";
import { messageOf } from "../common/error_message.ts";
import { OF_CONNECTION } from "../common/of_connection.ts";
import type { BackendServer } from "../configuration/mod.ts";
import type { Header, Run } from "../protocol/mod.ts";

/** Connections beyond the slots: health checks, cancels, resumes. */
const SPARE_CONNECTIONS = 16;
const CONNECT_TIMEOUT_MS = 1_000;
const HEALTH_TIMEOUT_MS = 1_000;
const CANCEL_TIMEOUT_MS = 2_000;

/** Header under which an engine knows an attempt. */
const REQUEST_ID_HEADER = "x-request-id";
/** Headers that belong to one connection only. */
const HOP_HEADERS = new Set([
  ...OF_CONNECTION,
  ...["proxy-authorization", "proxy-authenticate", "host"],
  ...["content-length", "authorization", "expect"],
]);

/** An answer that began. */
export interface Reply {
  readonly status: number;
  readonly headers: readonly Header[];
  readonly body: AsyncIterable<Buffer>;
  /** Drops the connection; reading the body then fails. */
  abandon(): void;
}

/** Why a call gave no answer. */
export interface BackendError {
  /** `not-sent`: the server can't have seen the request. */
  readonly type: "not-sent" | "broken" | "unknown-request";
  readonly sentence: string;
}

/** What the backend server says of itself. */
export interface Health {
  /** Differs after each start; empty if it tells none. */
  readonly incarnation: string;
}

/** One backend server over HTTP. */
export class BackendClient {
  readonly #server: BackendServer;
  readonly #agent: Agent;

  constructor(server: BackendServer) {
    this.#server = server;
    this.#agent = new Agent({
      connections: server.slots * 2 + SPARE_CONNECTIONS,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: { timeout: CONNECT_TIMEOUT_MS },
    });
  }

  /** Whether streams can be resumed and cancelled there. */
  get resumable(): boolean {
    return this.#server.type === "model";
  }

  /** Sends a request. */
  async start(
    run: Run,
    signal: AbortSignal,
  ): Promise<Result<Reply, BackendError>> {
    const headers = [
      ...run.headers.filter(([name]) => !HOP_HEADERS.has(name)),
      [REQUEST_ID_HEADER, run.attempt] as const,
    ];
    const empty = run.body.length === 0;
    return await this.#call(run.path, {
      method: run.method as Dispatcher.HttpMethod,
      headers: headers.flat(),
      body: empty ? null : Buffer.from(run.body),
      signal,
    });
  }

  /** Takes up an attempt's answer from an offset on. */
  async resume(
    attempt: string,
    offset: number,
    { signal }: { readonly signal: AbortSignal },
  ): Promise<Result<Reply, BackendError>> {
    const path = `${requestPath(attempt)}/answer?offset=${offset}`;
    const reply = await this.#call(path, { method: "GET", signal });
    // The request itself was sent before: "not sent" tells of the resume.
    if (reply.isErr()) {
      const { type, sentence } = reply.error;
      // Nobody listens any more: the server has gone with its memory.
      if (sentence.includes("ECONNREFUSED")) return err(GONE);
      return err({ type: type === "not-sent" ? "broken" : type, sentence });
    }
    if (reply.value.status !== 404) return reply;
    const sentence = "Backend server does not know the request";
    return err({ type: "unknown-request", sentence });
  }

  /** Cancels an attempt; the server ignores what it does not know. */
  async cancel(attempt: string): Promise<void> {
    const signal = AbortSignal.timeout(CANCEL_TIMEOUT_MS);
    await this.#call(requestPath(attempt), { method: "DELETE", signal });
  }

  /** Asks the server for its health; null when it doesn't answer. */
  async health(): Promise<Health | null> {
    const signal = AbortSignal.timeout(HEALTH_TIMEOUT_MS);
    const reply = await this.#call("/health", { method: "GET", signal });
    if (reply.isErr()) return null;
    const header = reply.value.headers.find(
      ([name]) => name === "x-incarnation",
    );
    try {
      for await (const _ of reply.value.body);
    } catch {
      return null;
    }
    return reply.value.status === 200
      ? { incarnation: header?.[1] ?? "" }
      : null;
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #call(
    path: string,
    options: {
      method: Dispatcher.HttpMethod;
      headers?: string[];
      body?: Buffer | null;
      signal: AbortSignal;
    },
  ): Promise<Result<Reply, BackendError>> {
    try {
      const response = await request(this.#server.url + path, {
        ...options,
        dispatcher: this.#agent,
      });
      return ok({
        status: response.statusCode,
        headers: toHeaders(response.headers),
        body: response.body,
        abandon: () => response.body.destroy(new Error("Answer is silent")),
      });
    } catch (error) {
      return err(toError(error));
    }
  }
}

const GONE: BackendError = {
  type: "unknown-request",
  sentence: "Backend server has gone",
};

function requestPath(attempt: string): string {
  return `/v1/requests/${encodeURIComponent(attempt)}`;
}

function toHeaders(
  headers: Record<string, string | string[] | undefined>,
): Header[] {
  return Object.entries(headers).flatMap(([name, value]) => {
    if (value === undefined || HOP_HEADERS.has(name)) return [];
    const values = Array.isArray(value) ? value : [value];
    return values.map((one): Header => [name, one]);
  });
}

/** Errors that tell that no byte of the request was sent. */
const NOT_SENT_CODES = new Set([
  ...["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT", "EHOSTUNREACH"],
  ...["ENETUNREACH", "UND_ERR_INVALID_ARG", "EADDRNOTAVAIL"],
]);

function toError(error: unknown): BackendError {
  const { code } = Object(error) as { code?: string };
  const type = NOT_SENT_CODES.has(code ?? "") ? "not-sent" : "broken";
  return { type, sentence: messageOf(error) };
}
