/** HTTP client of this side process's backend server. */

import { err, ok, type Result } from "neverthrow";
import { buildConnector, type Dispatcher, type Pool, request } from "undici";
import { messageOf } from "../common/error_message.ts";
import { HOP_BY_HOP_HEADERS } from "../common/hop_by_hop_headers.ts";
import { isValidStatus } from "../common/http_status.ts";
import { isReadableCoding } from "../common/transfer_coding.ts";
import type { BackendServer } from "../configuration/mod.ts";
import type { Header, RunRequest } from "../protocol/mod.ts";
import { createServerPool } from "./server_client.ts";

/** Connections beyond two per slot: health checks, cancels, resumes. */
const SPARE_CONNECTIONS = 16;
const CONNECT_TIMEOUT_MS = 1_000;
const HEALTH_TIMEOUT_MS = 1_000;
const CANCEL_TIMEOUT_MS = 2_000;

/** Header that names an attempt to the server. */
const REQUEST_ID_HEADER = "x-request-id";
/** Headers that are not forwarded: they belong to one connection or hop. */
const STRIPPED_HEADERS = new Set([
  ...HOP_BY_HOP_HEADERS,
  ...["proxy-authorization", "proxy-authenticate", "host"],
  ...["content-length", "authorization", "expect"],
]);

/** A response whose headers have arrived. */
export interface Reply {
  readonly status: number;
  readonly headers: readonly Header[];
  readonly body: AsyncIterable<Buffer>;
  /** Closes the connection; reading the body then fails. */
  abort(): void;
}

/** Why a call brought no complete response. */
export interface BackendError {
  /**
   * `not-sent`: no byte of the request was sent. `broken`: the call failed
   * later. `unknown-request`: the server has no attempt of this name to resume.
   */
  readonly type: "not-sent" | "broken" | "unknown-request";
  readonly sentence: string;
}

/** Result of a successful health check. */
export interface Health {
  /** Changes with each start of the server; empty if it reports none. */
  readonly incarnation: string;
}

/** Sends requests to one backend server over a pool of connections. */
export class BackendClient {
  readonly #server: BackendServer;
  readonly #pool: Pool;

  constructor(server: BackendServer) {
    this.#server = server;
    this.#pool = createServerPool(server.url, {
      connections: server.slots * 2 + SPARE_CONNECTIONS,
      connect: buildConnector({ timeout: CONNECT_TIMEOUT_MS }),
    });
  }

  /** Whether the server can resume and cancel requests. */
  get resumable(): boolean {
    return this.#server.type === "model";
  }

  /** Sends a run's request; resolves with the response headers. */
  async start(
    run: RunRequest,
    signal: AbortSignal,
  ): Promise<Result<Reply, BackendError>> {
    const headers = [
      ...run.headers.filter(([name]) => !STRIPPED_HEADERS.has(name)),
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

  /** Requests the rest of an attempt's response, from a byte offset on. */
  async resume(
    attempt: string,
    offset: number,
    { signal }: { readonly signal: AbortSignal },
  ): Promise<Result<Reply, BackendError>> {
    const path = `${requestPath(attempt)}/answer?offset=${offset}`;
    const reply = await this.#call(path, { method: "GET", signal });
    // The request itself was sent earlier: "not-sent" applies to this call
    // only, so it is reported as "broken".
    if (reply.isErr()) {
      const { type, sentence } = reply.error;
      // Nothing listens on the port: the server process has ended, and its
      // requests with it.
      if (sentence.includes("ECONNREFUSED")) return err(SERVER_GONE);
      return err({ type: type === "not-sent" ? "broken" : type, sentence });
    }
    if (reply.value.status !== 404) return reply;
    const sentence = "Backend server has no record of the request";
    return err({ type: "unknown-request", sentence });
  }

  /** Cancels an attempt; the server ignores an unknown one. */
  async cancel(attempt: string): Promise<void> {
    const signal = AbortSignal.timeout(CANCEL_TIMEOUT_MS);
    await this.#call(requestPath(attempt), { method: "DELETE", signal });
  }

  /** Checks the server's health; null if it is not healthy in time. */
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
    await this.#pool.destroy();
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
        dispatcher: this.#pool,
      });
      const sentence = rejectionReason(response);
      if (sentence !== null) {
        response.body.on("error", () => undefined).destroy();
        return err({ type: "broken", sentence });
      }
      return ok({
        status: response.statusCode,
        headers: toHeaders(response.headers),
        body: response.body,
        abort: () =>
          response.body.destroy(
            new Error("Backend server stopped sending its response"),
          ),
      });
    } catch (error) {
      return err(toError(error));
    }
  }
}

const SERVER_GONE: BackendError = {
  type: "unknown-request",
  sentence: "Backend server refused the connection and has lost the request",
};

/** Why a response is invalid; null if it is valid. */
function rejectionReason({
  statusCode,
  headers,
}: Pick<Dispatcher.ResponseData, "statusCode" | "headers">): string | null {
  if (!isValidStatus(statusCode)) return `Status ${statusCode} is invalid`;
  return isReadableCoding(headers["transfer-encoding"])
    ? null
    : "The response has a transfer coding that nobody asked for";
}

function requestPath(attempt: string): string {
  return `/v1/requests/${encodeURIComponent(attempt)}`;
}

function toHeaders(
  headers: Record<string, string | string[] | undefined>,
): Header[] {
  return Object.entries(headers).flatMap(([name, value]) => {
    if (value === undefined || STRIPPED_HEADERS.has(name)) return [];
    const values = Array.isArray(value) ? value : [value];
    return values.map((one): Header => [name, one]);
  });
}

/** Error codes which mean that no byte of the request was sent. */
const NOT_SENT_CODES = new Set([
  ...["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT", "EHOSTUNREACH"],
  ...["ENETUNREACH", "UND_ERR_INVALID_ARG", "EADDRNOTAVAIL"],
]);

function toError(error: unknown): BackendError {
  const { code } = Object(error) as { code?: string };
  const type = NOT_SENT_CODES.has(code ?? "") ? "not-sent" : "broken";
  return { type, sentence: messageOf(error) };
}
