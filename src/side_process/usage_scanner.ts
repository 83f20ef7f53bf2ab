/** Reads tokens used out of an engine's answer as it passes. */

import { countEvents } from "../common/event_marks.ts";
import type { Usage } from "../fairness/mod.ts";

/** End of the answer that is searched for the engine's own count. */
const TAIL_BYTES = 2_048;
const PROMPT = /"prompt_tokens"\s*:\s*(\d+)/g;
const GENERATED = /"completion_tokens"\s*:\s*(\d+)/g;

/** Counts events while a stream runs; takes the engine's count at its end. */
export class UsageScanner {
  #events = 0;
  #tail: Buffer = Buffer.alloc(0);

  /** Takes the next bytes of the answer. */
  push(bytes: Buffer): void {
    this.#events += countEvents(bytes);
    const tail = Buffer.concat([this.#tail, bytes]);
    this.#tail = tail.subarray(Math.max(0, tail.length - TAIL_BYTES));
  }

  /** Usage so far; the prompt is known at the end only. */
  get running(): Usage {
    return { promptTokens: 0, generatedTokens: this.#events };
  }

  /** Usage of an answer that ended. */
  get final(): Usage {
    const text = this.#tail.toString("latin1");
    const promptTokens = lastNumber(text, PROMPT);
    const generatedTokens = lastNumber(text, GENERATED);
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
