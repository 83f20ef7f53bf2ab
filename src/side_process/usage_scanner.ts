/** Extracts the token usage from a response while it is forwarded. */

import { countServerSentEvents } from "../common/server_sent_events.ts";
import type { Usage } from "../fairness/mod.ts";

/** Length of the response's end that is searched for the server's count. */
const TAIL_BYTES = 2_048;
const PROMPT_TOKENS = /"prompt_tokens"\s*:\s*(\d+)/g;
const GENERATED_TOKENS = /"completion_tokens"\s*:\s*(\d+)/g;

/**
 * Counts server-sent events as generated tokens while a stream runs, and takes
 * the server's own token counts at its end.
 */
export class UsageScanner {
  #events = 0;
  #tail: Buffer = Buffer.alloc(0);

  /** Scans the next bytes of the response. */
  push(bytes: Buffer): void {
    this.#events += countServerSentEvents(bytes);
    const tail = Buffer.concat([this.#tail, bytes]);
    this.#tail = tail.subarray(Math.max(0, tail.length - TAIL_BYTES));
  }

  /** Usage so far, without prompt tokens: they are known only at the end. */
  get running(): Usage {
    return { promptTokens: 0, generatedTokens: this.#events };
  }

  /** Usage of an ended response; the event count if the server sent none. */
  get final(): Usage {
    const text = this.#tail.toString("latin1");
    const promptTokens = lastNumber(text, PROMPT_TOKENS);
    const generatedTokens = lastNumber(text, GENERATED_TOKENS);
    if (promptTokens === null && generatedTokens === null) return this.running;
    return {
      promptTokens: promptTokens ?? 0,
      generatedTokens: generatedTokens ?? this.#events,
    };
  }
}

function lastNumber(text: string, pattern: RegExp): number | null {
  const found = [...text.matchAll(pattern)].at(-1);
  return found === undefined ? null : Number(found[1]);
}
