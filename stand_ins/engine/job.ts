/** A request that the stand-in engine processes. */

import { createHash } from "node:crypto";
import type { Execution } from "../run_log.ts";

/** Parameters of a request. */
export interface JobRequest {
  readonly id: string;
  readonly model: string;
  readonly stream: boolean;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly crash: boolean;
}

/** Generates an answer token by token and keeps it, so it can be resumed. */
export class Job {
  readonly request: JobRequest;
  readonly execution: Execution;
  promptTokensLeft: number;
  readonly promptTokens: number;
  generated = 0;
  ended = false;
  cancelled = false;
  #answer = "";
  #listeners = new Set<() => void>();

  constructor(
    request: JobRequest,
    execution: Execution,
    { cachedTokens }: { readonly cachedTokens: number },
  ) {
    this.request = request;
    this.execution = execution;
    this.promptTokens = Math.ceil(request.prompt.length / 4);
    this.promptTokensLeft = Math.max(1, this.promptTokens - cachedTokens);
  }

  /** The answer so far. */
  get answer(): Buffer {
    return Buffer.from(this.#answer);
  }

  /** Generates one token; ends the job after the last one. */
  generate(): void {
    this.generated += 1;
    if (this.request.stream) this.#write(this.#event());
    if (this.generated < this.request.maxTokens) return;
    this.#write(
      this.request.stream ? this.#finalEvents() : this.#wholeAnswer(),
    );
    this.end();
  }

  /** Ends the job; the answer stays as it is. */
  end(): void {
    this.ended = true;
    this.#notify();
  }

  /**
   * Calls the listener whenever the answer grows or ends; the returned function
   * unsubscribes it.
   */
  subscribe(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #write(text: string): void {
    this.#answer += text;
    this.#notify();
  }

  #notify(): void {
    for (const listener of this.#listeners) listener();
  }

  #event(): string {
    const content = tokenAt(this.request.prompt, this.generated);
    const choices = [{ index: 0, delta: { content } }];
    return `data: ${JSON.stringify({ choices })}\n\n`;
  }

  #finalEvents(): string {
    const usage = this.#usage();
    return `data: ${JSON.stringify({ choices: [], usage })}\n\ndata: [DONE]\n\n`;
  }

  #wholeAnswer(): string {
    const { prompt, maxTokens } = this.request;
    const content = expectedText(prompt, maxTokens);
    const message = { role: "assistant", content };
    const choices = [{ index: 0, message, finish_reason: "stop" }];
    return JSON.stringify({ choices, usage: this.#usage() });
  }

  #usage(): object {
    return {
      prompt_tokens: this.promptTokens,
      completion_tokens: this.generated,
    };
  }
}

/** Returns the token at a position, from 1, of the answer to a prompt. */
export function tokenAt(prompt: string, position: number): string {
  const hash = createHash("sha256").update(`${position}\n${prompt}`);
  return `${hash.digest("hex").slice(0, 6)} `;
}

/** Returns the whole answer to a prompt, which depends on nothing else. */
export function expectedText(prompt: string, tokens: number): string {
  const positions = Array.from({ length: tokens }, (_, index) => index + 1);
  return positions.map((position) => tokenAt(prompt, position)).join("");
}
