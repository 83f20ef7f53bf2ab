/** Requests of a scenario's callers. */

import { createHash } from "node:crypto";
import { type CallResult, chat, send } from "../../tools/load/caller.ts";

/** What a caller asks for. */
export interface CallOptions {
  readonly service?: string;
  readonly team?: string;
  readonly tokens?: number;
  readonly stream?: boolean;
  /** Absent leaves it to the configuration. */
  readonly idempotent?: boolean;
  readonly idempotencyKey?: string;
  readonly router?: number;
  /** Body text; a repeat sends the same one. */
  readonly text?: string;
  readonly workMs?: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly signal?: AbortSignal;
}

/** One request to a router. */
export interface CallerRequest {
  readonly url: string;
  readonly key: string;
  readonly service: string;
  readonly text: string;
  readonly headers: Record<string, string>;
  readonly options: CallOptions;
}

/** A request that was sent. */
export interface Sent {
  readonly bodyHash: string;
  readonly result: Promise<CallResult>;
}

/** Sends a chat request. */
export function sendChat(request: CallerRequest): Sent {
  const { url, key, service, text, headers, options } = request;
  const { tokens: maxTokens = 10, stream = true } = options;
  const messages = [{ role: "user", content: text }];
  const body = { model: service, messages, stream, max_tokens: maxTokens };
  const result = chat({
    ...{ url, key, headers, maxTokens, stream },
    model: service,
    prompt: text,
    ...(options.signal === undefined ? {} : { signal: options.signal }),
  });
  return { bodyHash: hash(JSON.stringify(body)), result };
}

/** Sends a request to a plain service and checks the echo of its body. */
export function sendPlain(request: CallerRequest): Sent {
  const { url, key, service, text, headers, options } = request;
  const query = `workMs=${options.workMs ?? 10}`;
  const target = `${url}/services/${service}/orders?${query}`;
  const result = send(target, { method: "POST", key, body: text, headers });
  const bodyHash = hash(text);
  const checked = result.then((answer): CallResult => {
    if (answer.type !== "answered") return answer;
    return answer.body.includes(bodyHash)
      ? answer
      : { ...answer, type: "wrong" };
  });
  return { bodyHash, result: checked };
}

/** Returns the headers that the options ask for. */
export function headersOf(options: CallOptions): Record<string, string> {
  const headers: Record<string, string> = { ...options.headers };
  if (options.idempotent !== undefined) {
    headers["oriole-idempotent"] = String(options.idempotent);
  }
  if (options.idempotencyKey !== undefined) {
    headers["idempotency-key"] = options.idempotencyKey;
  }
  return headers;
}

function hash(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
