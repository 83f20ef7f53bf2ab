/**
 * Watches the engine on this machine, so that a restart is known at once.
 *
 * Routers learn of a start by the engine's entry, one heartbeat or more later.
 */

import type { Clock } from "../common/clock.ts";
import type { ColdGuard } from "./cold_guard.ts";

/** What one question to the engine has shown. */
export type EngineObservation =
  | {
      readonly type: "answered";
      /** Start in Unix milliseconds; null if it doesn't say. */
      readonly startedAtMs: number | null;
      /** Time for which it is cold; 0 if it doesn't say. */
      readonly coldForMs: number;
    }
  /** No process listens there. */
  | { readonly type: "refused" }
  | { readonly type: "silent" };

/** Asks the engine; never rejects, and always ends. */
export type EngineProbe = () => Promise<EngineObservation>;

/**
 * Interval of the questions. The engine answers them in a millisecond, at no
 * price; a start is known this much later.
 */
const INTERVAL_MS = 200;
/** A busy machine may leave one question unanswered. */
const SILENT_PROBES = 2;

/** Asks the engine regularly; `start` it, then `close` it. */
export class EngineMonitor {
  readonly #guard: ColdGuard;
  readonly #probe: EngineProbe;
  readonly #clock: Clock;
  #startedAtMs: number | null = null;
  #silent = 0;
  #timer: NodeJS.Timeout | null = null;
  #isAsking = false;
  #lastAnswerAtMs: number | null = null;

  constructor(
    guard: ColdGuard,
    { clock, probe }: { readonly clock: Clock; readonly probe: EngineProbe },
  ) {
    this.#guard = guard;
    this.#clock = clock;
    this.#probe = probe;
  }

  /** Time since the engine last answered; null if it never has. */
  get answerAgeMs(): number | null {
    if (this.#lastAnswerAtMs === null) return null;
    return this.#clock.monotonicMs() - this.#lastAnswerAtMs;
  }

  /** Begins to ask, where the engine's service calls for it. */
  start(): void {
    this.#timer = setInterval(() => void this.ask(), INTERVAL_MS);
  }

  /** Stops asking. */
  close(): void {
    if (this.#timer !== null) clearInterval(this.#timer);
    this.#timer = null;
  }

  /** Asks once, unless a question is open. */
  async ask(): Promise<void> {
    if (this.#isAsking || !this.#guard.isNeeded) return;
    this.#isAsking = true;
    try {
      this.#apply(await this.#probe());
    } finally {
      this.#isAsking = false;
    }
  }

  #apply(observation: EngineObservation): void {
    switch (observation.type) {
      case "answered": {
        const { startedAtMs, coldForMs } = observation;
        this.#silent = 0;
        this.#lastAnswerAtMs = this.#clock.monotonicMs();
        const before = this.#startedAtMs;
        if (startedAtMs !== null) this.#startedAtMs = startedAtMs;
        if (before !== null && startedAtMs !== null && startedAtMs !== before)
          this.#guard.noteStart("engine-started");
        this.#guard.noteCold(coldForMs, "engine");
        return;
      }
      case "refused":
        // Its end moves on until the engine answers: it is cold from then on.
        this.#guard.noteStart("engine-unreachable");
        return;
      case "silent":
        this.#silent += 1;
        if (this.#silent >= SILENT_PROBES)
          this.#guard.noteStart("engine-unreachable");
        return;
      default:
        observation satisfies never;
    }
  }
}
