/**
 * Keeps the streams of an engine at the pace that their routes ask for.
 *
 * Engines prefill prompts in chunks between the steps that generate tokens.
 * While prompts follow each other without a break, each step takes as long as a
 * chunk, and an event of several tokens takes several chunks. Prompts are
 * therefore admitted in stretches that are shorter than the longest pause that
 * callers accept; between two stretches the streams go on undisturbed.
 */

/**
 * Part of the longest accepted pause that a stretch of prefill takes before any
 * stream has ended. The rest is for the generating steps in between and for what
 * the network adds.
 */
const INITIAL_STRETCH_SHARE = 0.7;
/**
 * Shorter stretches would lose much of the engine's throughput: each is followed
 * by some tens of milliseconds until the first tokens are known to have come.
 */
const MIN_STRETCH_SHARE = 0.6;
/** The prefill backlog of an engine is bounded to about as much anyway. */
const MAX_STRETCH_SHARE = 3;
/** Streams by which the share is judged; one team rarely has as many at once. */
const JUDGED_STREAMS = 20;
/** Share of streams that may pause for too long: 95 in 100 are to keep pace. */
const MISSED_SHARE_TARGET = 0.05;
/** Factor by which one judgement changes the stretch. */
const STRETCH_STEP = 1.2;

/** Running streams with a pace, and the prefill that was admitted beside them. */
export class PrefillPace {
  readonly #gapMsByStream = new Map<object, number>();
  /** Tokens admitted since the engine last had none to prefill. */
  #stretchTokens = 0;
  #stretchShare = INITIAL_STRETCH_SHARE;
  #served = 0;
  #missed = 0;
  /** Whether a prompt was held back since the stretch began. */
  #isHeldBack = false;
  #heldBackStretches = 0;

  /** Shortest pause that a running stream's route accepts; null for none. */
  get shortestGapMs(): number | null {
    const gaps = this.#gapMsByStream.values();
    let shortest: number | null = null;
    for (const gapMs of gaps)
      if (shortest === null || gapMs < shortest) shortest = gapMs;
    return shortest;
  }

  /** Adds a stream that generates tokens from now on. */
  addStream(stream: object, gapMs: number): void {
    this.#gapMsByStream.set(stream, gapMs);
  }

  /** Stretch of prefill, as a share of the shortest accepted pause. */
  get stretchShare(): number {
    return this.#stretchShare;
  }

  /** Counts a stream that has paused for too long. */
  noteMissed(stream: object): void {
    if (this.#gapMsByStream.has(stream)) this.#missed += 1;
  }

  /** Learns from a stream that was served; any other request is ignored. */
  noteServed(stream: object): void {
    if (!this.#gapMsByStream.has(stream)) return;
    this.#served += 1;
    if (this.#served < JUDGED_STREAMS) return;
    const isMissed = this.#missed > JUDGED_STREAMS * MISSED_SHARE_TARGET;
    const share = isMissed
      ? this.#stretchShare / STRETCH_STEP
      : this.#stretchShare * STRETCH_STEP;
    this.#stretchShare = Math.min(
      MAX_STRETCH_SHARE,
      Math.max(MIN_STRETCH_SHARE, share),
    );
    this.#served = 0;
    this.#missed = 0;
  }

  /** Removes a request that has ended, whether it was a stream or not. */
  remove(stream: object): void {
    this.#gapMsByStream.delete(stream);
  }

  /** Adds an admitted prompt. */
  addPrompt(tokens: number): void {
    this.#stretchTokens += tokens;
  }

  /** Ends a stretch: the engine has no prompt to prefill. */
  endStretch(): void {
    this.#stretchTokens = 0;
    this.#isHeldBack = false;
  }

  /**
   * Whether a prompt may be admitted now. The first of a stretch always may: one
   * that is longer than a stretch has to be prefilled at some time.
   */
  allows(tokens: number, tokensPerMs: number): boolean {
    const gapMs = this.shortestGapMs;
    if (gapMs === null || this.#stretchTokens === 0) return true;
    const maxTokens = gapMs * this.#stretchShare * tokensPerMs;
    const isAllowed = this.#stretchTokens + tokens <= maxTokens;
    if (!isAllowed && !this.#isHeldBack) {
      this.#isHeldBack = true;
      this.#heldBackStretches += 1;
    }
    return isAllowed;
  }

  /** Stretches after which a prompt had to wait; counts anew from now on. */
  takeHeldBack(): number {
    const count = this.#heldBackStretches;
    this.#heldBackStretches = 0;
    return count;
  }
}
