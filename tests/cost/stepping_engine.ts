/** An engine without a network that works in steps, as batching engines do. */

const CHUNK_TOKENS = 4_096;
const STEP_MS = 6;
const TOKENS_PER_EVENT = 5;

/** A run from its admission to its last token. */
export interface SteppedRun {
  unreadTokens: number;
  tokensLeft: number;
  tokensMade: number;
  /** Times of its events. */
  readonly eventsAtMs: number[];
  readonly onFirstEvent: () => void;
  readonly onEnd: () => void;
}

/** In each step it prefills one chunk and generates a token for each stream. */
export class SteppingEngine {
  readonly #tokensPerMs: number;
  readonly #runs = new Set<SteppedRun>();
  #stepEndsAtMs = 0;
  #endStep: () => void = () => {};

  constructor(tokensPerMs: number) {
    this.#tokensPerMs = tokensPerMs;
  }

  add(run: SteppedRun): void {
    this.#runs.add(run);
  }

  /** Works until `nowMs`. */
  advance(nowMs: number): void {
    while (this.#stepEndsAtMs <= nowMs) {
      this.#endStep();
      this.#endStep = () => {};
      const startMs = Math.max(this.#stepEndsAtMs, nowMs);
      if (this.#runs.size === 0) return;
      this.#beginStep(startMs);
    }
  }

  #beginStep(startMs: number): void {
    const decoding = [...this.#runs].filter((run) => run.unreadTokens === 0);
    let chunkTokens = 0;
    for (const run of this.#runs) {
      const tokens = Math.min(run.unreadTokens, CHUNK_TOKENS - chunkTokens);
      run.unreadTokens -= tokens;
      chunkTokens += tokens;
    }
    const endMs = startMs + STEP_MS + chunkTokens / this.#tokensPerMs;
    this.#stepEndsAtMs = endMs;
    this.#endStep = () => {
      for (const run of decoding) this.#generate(run, endMs);
    };
  }

  #generate(run: SteppedRun, nowMs: number): void {
    run.tokensMade += 1;
    run.tokensLeft -= 1;
    const isEvent =
      run.tokensMade % TOKENS_PER_EVENT === 1 || run.tokensLeft === 0;
    if (isEvent) run.eventsAtMs.push(nowMs);
    if (run.tokensMade === 1) run.onFirstEvent();
    if (run.tokensLeft > 0) return;
    this.#runs.delete(run);
    run.onEnd();
  }
}
