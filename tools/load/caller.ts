/** Callers: send requests and check that each answer is their own and whole. */

import { Agent, request } from "undici";
import { countEvents } from "../../src/common/event_marks.ts";
import { expectedText } from "../../stand_ins/engine/job.ts";

/** A chat request. */
export interface ChatCall {
  readonly url: string;
  readonly key: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stream: boolean;
  readonly headers?: Readonly<Record<string, string>>;
  readonly signal?: AbortSignal;
  /** Called with each piece of the answer. */
  readonly onPiece?: OnPiece;
}

/** Called with the size of a piece of an answer and when it came. */
export type OnPiece = (events: number, nowMs: number) => void;

/** What became of a call. */
export interface CallResult {
  /** `wrong`: an answer that is not the caller's own whole one. */
  readonly type: "answered" | "refused" | "failed" | "wrong";
  readonly status: number;
  /** Our word for what is known of the run; empty for an answer. */
  readonly outcome: string;
  readonly code: string;
  readonly retryAfter: string;
  readonly requestId: string;
  /** Whether status and headers came. */
  readonly begun: boolean;
  readonly startedMs: number;
  readonly firstTokenMs: number | null;
  readonly endedMs: number;
  /** Time between tokens, averaged over the answer. */
  readonly betweenTokensMs: number | null;
  readonly body: string;
}

const agent = new Agent({
  connections: 2_000,
  pipelining: 1,
  headersTimeout: 0,
  bodyTimeout: 0,
});

/** Sends a chat request and checks the answer. */
export async function chat(call: ChatCall): Promise<CallResult> {
  const { model, prompt, maxTokens, stream } = call;
  const messages = [{ role: "user", content: prompt }];
  const result = await send(`${call.url}/v1/chat/completions`, {
    method: "POST",
    key: call.key,
    body: JSON.stringify({ model, messages, stream, max_tokens: maxTokens }),
    headers: call.headers ?? {},
    signal: call.signal,
    onPiece: call.onPiece,
  });
  if (result.type !== "answered") return result;
  const text = stream ? textOfStream(result.body) : textOfAnswer(result.body);
  const expected = expectedText(JSON.stringify(messages), maxTokens);
  const timed = { ...result, betweenTokensMs: between(result, maxTokens) };
  return text === expected ? timed : { ...timed, type: "wrong" };
}

/** A call of any service. */
export interface RawCall {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  readonly key: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly signal?: AbortSignal | undefined;
  readonly onPiece?: OnPiece | undefined;
}

/** Sends a request; tells answers from refusals and broken connections. */
export async function send(url: string, call: RawCall): Promise<CallResult> {
  const startedMs = performance.now();
  let firstTokenMs: number | null = null;
  let body = "";
  let begun = false;
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
    begun = true;
    for await (const piece of response.body) {
      const nowMs = performance.now();
      firstTokenMs ??= nowMs;
      body += piece;
      call.onPiece?.(countEvents(piece), nowMs);
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
      begun,
      startedMs,
      firstTokenMs,
      endedMs: performance.now(),
      betweenTokensMs: null,
      body,
    };
  } catch (error) {
    const told = /event: error\ndata: (.*)\n/.exec(body)?.[1];
    return {
      type: "failed",
      status: 0,
      outcome: told === undefined ? "" : outcomeOf(told),
      code: told === undefined ? (error as Error).message : codeOf(told),
      retryAfter: "",
      requestId: "",
      begun,
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

function between(result: CallResult, tokens: number): number | null {
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
