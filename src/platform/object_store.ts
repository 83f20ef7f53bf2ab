/** Client of the platform's object API: HTTP with ETags as versions. */

import { err, ok, type Result } from "neverthrow";
import { Agent, request } from "undici";
import { messageOf } from "../common/error_message.ts";
import type { StoreError } from "./store_error.ts";

/** Limit for each call; watches get this on top of their own timeout. */
const CALL_TIMEOUT_MS = 2_000;
/** Used when the platform sends no `retry-after`. */
const DEFAULT_RETRY_MS = 500;

/** An object with its version. */
export interface VersionedObject {
  readonly version: number;
  readonly value: unknown;
}

/** Identifies an object. */
export interface ObjectName {
  readonly kind: string;
  readonly name: string;
}

interface Call {
  readonly method: "GET" | "PUT" | "DELETE";
  readonly query?: Record<string, number>;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  readonly timeoutMs?: number;
}

/** Reads, writes and watches objects; every call has a timeout. */
export class ObjectStore {
  readonly #url: string;
  #agent = createAgent();
  /** Replaced agents whose calls in progress go on. */
  readonly #replaced = new Set<Agent>();
  #calls = 0;

  constructor(url: string) {
    this.#url = url;
  }

  /** Number of calls since the start; each watch counts as one. */
  get calls(): number {
    return this.#calls;
  }

  /** Reads an object. */
  async get(name: ObjectName): Promise<Result<VersionedObject, StoreError>> {
    return await this.#call(name, { method: "GET" });
  }

  /** Creates an object and returns its version; `conflict` if it exists. */
  async create(
    name: ObjectName,
    value: unknown,
  ): Promise<Result<number, StoreError>> {
    return await this.#write(name, value, { "if-none-match": "*" });
  }

  /**
   * Replaces an object if its version is still `expected`, and returns the new
   * version; `conflict` otherwise.
   */
  async update(
    name: ObjectName,
    value: unknown,
    { expected }: { readonly expected: number },
  ): Promise<Result<number, StoreError>> {
    return await this.#write(name, value, { "if-match": `"${expected}"` });
  }

  /** Deletes an object; succeeds also when it does not exist. */
  async remove(name: ObjectName): Promise<Result<void, StoreError>> {
    const removed = await this.#call(name, { method: "DELETE" });
    if (removed.isOk() || removed.error.type === "not-found") {
      return ok(undefined);
    }
    return err(removed.error);
  }

  /**
   * Waits up to `timeoutMs` for a version above `after`; returns null when
   * there was none by then.
   */
  async watch(
    name: ObjectName,
    {
      after,
      timeoutMs,
    }: { readonly after: number; readonly timeoutMs: number },
  ): Promise<Result<VersionedObject | null, StoreError>> {
    const stored = await this.#call(name, {
      method: "GET",
      query: { watch: after, timeoutMs },
      timeoutMs: timeoutMs + CALL_TIMEOUT_MS,
    });
    if (stored.isOk() && stored.value.version <= after) return ok(null);
    return stored;
  }

  /** Closes all connections; calls in flight fail. */
  async close(): Promise<void> {
    const agents = [this.#agent, ...this.#replaced];
    await Promise.all(agents.map((agent) => agent.destroy()));
  }

  async #write(
    name: ObjectName,
    value: unknown,
    headers: Record<string, string>,
  ): Promise<Result<number, StoreError>> {
    const body = JSON.stringify(value);
    const written = await this.#call(name, { method: "PUT", headers, body });
    return written.map(({ version }) => version);
  }

  async #call(
    { kind, name }: ObjectName,
    { method, query, headers, body, timeoutMs = CALL_TIMEOUT_MS }: Call,
  ): Promise<Result<VersionedObject, StoreError>> {
    this.#calls += 1;
    const url = `${this.#url}/v1/objects/${kind}/${encodeURIComponent(name)}`;
    const agent = this.#agent;
    const timeout = AbortSignal.timeout(timeoutMs);
    try {
      const response = await request(url, {
        method,
        query,
        headers: { "content-type": "application/json", ...headers },
        body: body ?? null,
        dispatcher: agent,
        signal: timeout,
      });
      const text = await response.body.text();
      return interpret(response.statusCode, response.headers, text);
    } catch (error) {
      if (timeout.aborted) this.#replace(agent);
      const message = messageOf(error);
      if (method === "GET") {
        return err(unavailable(message, DEFAULT_RETRY_MS));
      }
      return err({ type: "response-lost", message });
    }
  }

  /**
   * Opens new connections for further calls: those of the agent may have fallen
   * silent together. Its calls in progress go on.
   */
  #replace(agent: Agent): void {
    if (agent !== this.#agent) return;
    this.#agent = createAgent();
    this.#replaced.add(agent);
    void agent.close().finally(() => this.#replaced.delete(agent));
  }
}

function createAgent(): Agent {
  return new Agent({ connections: 8, pipelining: 1 });
}

function unavailable(message: string, retryAfterMs: number): StoreError {
  return { type: "unavailable", message, retryAfterMs };
}

function interpret(
  status: number,
  headers: Record<string, string | string[] | undefined>,
  text: string,
): Result<VersionedObject, StoreError> {
  const version = Number(String(headers.etag ?? "0").replaceAll('"', ""));
  switch (status) {
    case 200:
    case 201:
      return ok({ version, value: text === "" ? null : JSON.parse(text) });
    case 304:
      return ok({ version, value: null });
    case 404:
      return err({ type: "not-found" });
    case 412:
      return err({ type: "conflict" });
    default: {
      const seconds = Number(headers["retry-after"] ?? 0);
      const retryAfterMs = seconds > 0 ? seconds * 1_000 : DEFAULT_RETRY_MS;
      return err(unavailable(`Status ${status}`, retryAfterMs));
    }
  }
}
