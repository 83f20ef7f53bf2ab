/** Sends callers' requests and checks that each answer is theirs and whole. */

import { Agent, request } from "undici";
import { countServerSentEvents } from "../../src/common/server_sent_events.ts";
import { expectedText } from "../../stand_ins/engine/job.ts";

/** A chat completion request. */
export interface ChatCall {
  readonly url: string;
  readonly key: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stream: boolean;
  readonly headers?: Readonly<Record<string, string>>;
  readonly signal?: AbortSignal;
  /** Called for each chunk of the answer. */
  readonly onChunk?: ChunkListener;
}

/** Gets the number of events in a chunk and when it arrived. */
export type ChunkListener = (events: number, nowMs: number) => void;

/** Result of a call; times are of `performance.now()`. */
export interface CallResult {
  /**
   * `answered`: a whole answer; `refused`: an answer with an `oriole-outcome`
   * header; `failed`: the connection broke off, perhaps after an error event;
   * `wrong`: an answer that is incomplete or another request's.
   */
  readonly type: "answered" | "refused" | "failed" | "wrong";
  readonly status: number;
  /** `oriole-outcome` header, or outcome of an error event; else empty. */
  readonly outcome: string;
  /** Error code of the body or event, or the transport's error message. */
  readonly code: string;
  readonly retryAfter: string;
  readonly requestId: string;
  /** Whether the status line and the headers have arrived. */
  readonly headReceived: boolean;
  readonly startedMs: number;
  readonly firstTokenMs: number | null;
  readonly endedMs: number;
  /** Mean time between tokens; null if it was not measured. */
  readonly betweenTokensMs: number | null;
  readonly body: string;
}

const agent = new Agent({
  connections: 2_000,
  pipelining: 1,
  headersTimeout: 0,
  bodyTimeout: 0,
});

/** Sends a chat completion request and checks the answer's text. */
export async function chat(call: ChatCall): Promise<CallResult> {
  const { model, prompt, maxTokens, stream } = call;
  const messages = [{ role: "user", content: prompt }];
  const result = await send(`${call.url}/v1/chat/completions`, {
    method: "POST",
    key: call.key,
    body: JSON.stringify({ model, messages, stream, max_tokens: maxTokens }),
    headers: call.headers ?? {},
    signal: call.signal,
    onChunk: call.onChunk,
  });
  if (result.type !== "answered") return result;
  const text = stream ? textOfStream(result.body) : textOfAnswer(result.body);
  const expected = expectedText(JSON.stringify(messages), maxTokens);
  const timed = {
    ...result,
    betweenTokensMs: meanTokenInterval(result, maxTokens),
  };
  return text === expected ? timed : { ...timed, type: "wrong" };
}

/** A request to any service. */
export interface RawCall {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  readonly key: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly signal?: AbortSignal | undefined;
  readonly onChunk?: ChunkListener | undefined;
}

/** Sends a request; never rejects: a broken connection becomes `failed`. */
export async function send(url: string, call: RawCall): Promise<CallResult> {
  const startedMs = performance.now();
  let firstTokenMs: number | null = null;
  let body = "";
  let headReceived = false;
  try {
    const response = await request(url, {
      method: call.method,
      headers: {
        authorization: `Bearer ${call.key}`,
        "content-type": "application/json",
        ...call.headers,
      },
      body: call.body ?? null,
      dispatcher: agent,
      ...(call.signal === undefined ? {} : { signal: call.signal }),
    });
    headReceived = true;
    for await (const chunk of response.body) {
      const nowMs = performance.now();
      firstTokenMs ??= nowMs;
      body += chunk;
      call.onChunk?.(countServerSentEvents(chunk), nowMs);
    }
    const header = (name: string) => String(response.headers[name] ?? "");
    const outcome = header("oriole-outcome");
    return {
      type: outcome === "" ? "answered" : "refused",
      status: response.statusCode,
      outcome,
      code: outcome === "" ? "" : codeOf(body),
      retryAfter: header("retry-after"),
      requestId: header("oriole-request-id"),
      headReceived,
      startedMs,
      firstTokenMs,
      endedMs: performance.now(),
      betweenTokensMs: null,
      body,
    };
  } catch (error) {
    const errorEvent = /event: error\ndata: (.*)\n/.exec(body)?.[1];
    return {
      type: "failed",
      status: 0,
      outcome: errorEvent === undefined ? "" : outcomeOf(errorEvent),
      code:
        errorEvent === undefined
          ? (error as Error).message
          : codeOf(errorEvent),
      retryAfter: "",
      requestId: "",
      headReceived,
      startedMs,
      firstTokenMs,
      endedMs: performance.now(),
      betweenTokensMs: null,
      body,
    };
  }
}

/** Closes the callers' connections. */
export async function close(): Promise<void> {
  await agent.close();
}

function meanTokenInterval(result: CallResult, tokens: number): number | null {
  if (result.firstTokenMs === null || tokens < 2) return null;
  return (result.endedMs - result.firstTokenMs) / (tokens - 1);
}

function textOfStream(body: string): string | null {
  if (!body.endsWith("data: [DONE]\n\n")) return null;
  const events = body.split("\n\n").filter((event) => event !== "");
  return events
    .slice(0, -1)
    .map((event) => JSON.parse(event.slice("data: ".length)))
    .map(({ choices }) => choices[0]?.delta?.content ?? "")
    .join("");
}

function textOfAnswer(body: string): string | null {
  try {
    return JSON.parse(body).choices[0].message.content;
  } catch {
    return null;
  }
}

function codeOf(body: string): string {
  try {
    return String(JSON.parse(body).error.code);
  } catch {
    return "";
  }
}

function outcomeOf(body: string): string {
  try {
    return String(JSON.parse(body).error.outcome);
  } catch {
    return "";
  }
}
