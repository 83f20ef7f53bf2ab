/** Sends the requests of a scenario's callers. */

import { createHash } from "node:crypto";
import { type CallResult, chat, send } from "../../tools/load/caller.ts";

/** Options of a call; each has a default. */
export interface CallOptions {
  readonly service?: string;
  readonly team?: string;
  readonly tokens?: number;
  readonly stream?: boolean;
  /** If absent, no header is sent and the configuration decides. */
  readonly idempotent?: boolean;
  readonly idempotencyKey?: string;
  readonly router?: number;
  /** Prompt or body; a repeat sends the same text again. */
  readonly text?: string;
  /** How long a plain service works on the request. */
  readonly workMs?: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly signal?: AbortSignal;
}

/** A request to a router. */
export interface CallerRequest {
  readonly url: string;
  readonly key: string;
  readonly service: string;
  readonly text: string;
  readonly headers: Record<string, string>;
  readonly options: CallOptions;
}

/** A request in flight. */
export interface SentRequest {
  readonly bodyHash: string;
  readonly result: Promise<CallResult>;
}

/** Sends a chat completion request. */
export function sendChat(request: CallerRequest): SentRequest {
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
  return { bodyHash: sha256Hex(JSON.stringify(body)), result };
}

/**
 * Sends a request to a plain service; an answer without the hash of the body
 * becomes `wrong`.
 */
export function sendPlain(request: CallerRequest): SentRequest {
  const { url, key, service, text, headers, options } = request;
  const query = `workMs=${options.workMs ?? 10}`;
  const target = `${url}/services/${service}/orders?${query}`;
  const result = send(target, { method: "POST", key, body: text, headers });
  const bodyHash = sha256Hex(text);
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

function sha256Hex(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
